package org.pollenhoist.serving.store;

/**
 * A lease that the store has granted. After the store has come back from an older copy, it may grant the same number to
 * somebody else.
 *
 * @param era the era in which it was granted, 0 if the store names none
 * @param number its number
 */
public record StoreLease(long era, long number) {}
