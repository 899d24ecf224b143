/** What simulated experiments share. */
package org.pollenhoist.experiments.simulation;
