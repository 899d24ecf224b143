package org.pollenhoist.limit;

/** An exponentially weighted estimate of the tokens per second that callers ask for. Not thread-safe. */
final class DemandEstimate {

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final double windowSeconds;
    private double tokensPerSecond;
    private long updatedAt;

    DemandEstimate(double windowSeconds, long now) {
        this.windowSeconds = windowSeconds;
        this.updatedAt = now;
    }

    void add(double tokens, long now) {
        tokensPerSecond = Math.max(0, at(now) + tokens / windowSeconds);
        updatedAt = Math.max(updatedAt, now);
    }

    double at(long now) {
        if (now <= updatedAt || tokensPerSecond == 0) {
            return tokensPerSecond;
        }
        return tokensPerSecond * Math.exp(-(now - updatedAt) / NANOSECONDS_PER_SECOND / windowSeconds);
    }
}
