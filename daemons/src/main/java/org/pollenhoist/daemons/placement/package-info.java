/** The placement process: one of several in each failure domain, of which one acts at a time. */
package org.pollenhoist.daemons.placement;
