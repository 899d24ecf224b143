package org.pollenhoist.operator;

/**
 * What an entry VM says of itself.
 *
 * @param vm its name
 * @param revision the revision in force, 0 for none
 * @param isReady whether it takes requests
 * @param isDraining whether it is stopping
 */
public record VmStatus(String vm, long revision, boolean isReady, boolean isDraining) {}
