package org.pollenhoist.serving.limit;

/** What a response states about the requests, or the rejections, that its upstream bears. */
public sealed interface RateLimitNotice {

    /** The upstream names no limit. */
    record Unlimited() implements RateLimitNotice {}

    /**
     * The upstream states a limit for all VMs together.
     *
     * @param perSecond the limit, not negative
     */
    record Limited(double perSecond) implements RateLimitNotice {}

    /** The response names a limit that can't be read, so it neither sets nor ends one. */
    record Unreadable() implements RateLimitNotice {}
}
