package org.pollenhoist.serving.limit;

/** What a response states about the requests that its upstream accepts. */
public sealed interface RateLimitNotice {

    /** The upstream names no limit. */
    record Unlimited() implements RateLimitNotice {}

    /**
     * The upstream limits the requests that it accepts from all VMs together.
     *
     * @param requestsPerSecond the limit, not negative
     */
    record Limited(double requestsPerSecond) implements RateLimitNotice {}

    /** The response names a limit that can't be read, so it neither sets nor ends one. */
    record Unreadable() implements RateLimitNotice {}
}
