/** The configuration in force: routes, services, teams and limits, as immutable values. */
package org.pollenhoist.serving.catalog;
