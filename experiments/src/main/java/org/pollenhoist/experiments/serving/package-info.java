/**
 * The serving process's decisions on simulated engines and callers: what callers get on heavy days. The deciding
 * classes run unchanged; engines, callers and the way between VMs are simulated, with a seed.
 */
package org.pollenhoist.experiments.serving;
