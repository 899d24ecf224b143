package org.pollenhoist.request;

/**
 * The right to run a request with an idempotency key.
 *
 * @param key the key
 * @param number tells the runs of one key apart
 */
public record IdempotencyTicket(IdempotencyKey key, long number) {}
