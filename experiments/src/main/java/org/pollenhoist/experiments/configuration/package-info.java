/** How configurations spread over a simulated fleet, at what cost, and under which faults. */
package org.pollenhoist.experiments.configuration;
