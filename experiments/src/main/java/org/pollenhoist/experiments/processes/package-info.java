/** Real processes on loopback for experiments and scenarios. No product module depends on it. */
package org.pollenhoist.experiments.processes;
