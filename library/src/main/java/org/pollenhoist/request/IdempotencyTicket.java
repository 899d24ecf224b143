package org.pollenhoist.request;

/**
 * Permission to run a request with an idempotency key.
 *
 * @param key the key
 * @param number distinguishes the runs of the same key
 */
public record IdempotencyTicket(IdempotencyKey key, long number) {}
