package org.pollenhoist.experiments.processes;

/**
 * What a command line call has given.
 *
 * @param exitCode its exit code
 * @param output what it has printed
 */
public record CommandResult(int exitCode, String output) {}
