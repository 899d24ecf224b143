/**
 * Experiments on teams' limits: many VMs in one process over a seeded clock, with the deciding classes unchanged and
 * messages, platform and processes that fail.
 */
package org.pollenhoist.experiments.limit;
