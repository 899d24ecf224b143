/** Measures routing policies against each other over simulated engines with lagged reports and prefix caches. */
package org.pollenhoist.experiments.routing;
