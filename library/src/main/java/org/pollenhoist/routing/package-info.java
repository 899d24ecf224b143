/** Decides which upstream runs a request, from own in-flight counts, lagged load reports and cache hints. */
package org.pollenhoist.routing;
