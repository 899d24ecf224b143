package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * The request rate that one lifetime of an upstream accepts from all VMs together, and this VM's share of it. A VM
 * sends at most one request ahead of its share, so that the sum over all VMs stays close to the limit.
 *
 * <p>The limit was observed in a response, by this VM or by a peer; of two observations the later one applies. Beside
 * it, a cold upstream accepts no more than its service's configuration says; the lower of the two applies. Confined to
 * the event loop.
 */
public final class RequestRateLimit {

    /** Lowest rate assumed for the time until an upstream accepts another request, in requests per second. */
    private static final double MINIMUM_RATE_PER_SECOND = 0.2;

    private static final double CAPACITY = 1;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final ObservedLimit stated = new ObservedLimit();
    private double coldPerSecond;
    private MonotonicTime coldUntil;
    private double sharePerSecond;
    private double level;
    private MonotonicTime filledAt;

    /**
     * Creates a limit that has not been observed.
     *
     * @param now the current time
     */
    public RequestRateLimit(MonotonicTime now) {
        this.filledAt = now;
        this.coldUntil = now;
    }

    /**
     * Limits the requests of a cold upstream. Until this VM's share of the limit is set, it sends nothing.
     *
     * @param perSecond the requests a second that the upstream accepts from all VMs together while it is cold
     * @param until when it is no longer cold, at the latest; the current time if it is not cold
     * @param now the current time
     */
    public void limitWhileCold(double perSecond, MonotonicTime until, MonotonicTime now) {
        boolean wasLimited = isLimited(now);
        coldPerSecond = perSecond;
        coldUntil = until;
        if (!wasLimited && isLimited(now)) {
            level = 0;
            sharePerSecond = 0;
        }
    }

    /**
     * Returns whether the upstream is cold and limits its requests for that reason.
     *
     * @param now the current time
     * @return true until it is no longer cold
     */
    public boolean isCold(MonotonicTime now) {
        return now.isBefore(coldUntil);
    }

    /**
     * Applies what a response states. Only a response to a request that was sent after the limit was last observed can
     * end it, since responses may overtake each other.
     *
     * @param notice what the response states
     * @param sentAt when the request was sent
     * @param now the current time
     * @return whether the other VMs should learn of it at once
     */
    public boolean observe(RateLimitNotice notice, MonotonicTime sentAt, MonotonicTime now) {
        boolean wasLimited = stated.isLastKnownLimited();
        boolean isUrgent = stated.observe(notice, sentAt, now);
        emptyShareUnless(wasLimited);
        return isUrgent;
    }

    private void emptyShareUnless(boolean wasLimited) {
        if (!wasLimited && stated.isLastKnownLimited()) {
            level = 0;
            sharePerSecond = 0;
        }
    }

    /**
     * Applies what a peer observed.
     *
     * @param observation its observation
     * @return whether this changes what this VM knows of the limit
     */
    public boolean receive(LimitObservation observation) {
        boolean wasLimited = stated.isLastKnownLimited();
        boolean isChange = stated.receive(observation);
        emptyShareUnless(wasLimited);
        return isChange;
    }

    /**
     * Returns this VM's own latest observation, for other VMs.
     *
     * @param now the current time
     * @return the observation, empty if there is none or it is too old
     */
    public Optional<LimitObservation> reportable(MonotonicTime now) {
        return stated.reportable(now);
    }

    /**
     * Returns whether the upstream limits its requests.
     *
     * @param now the current time
     * @return true from the first observation of a limit until its end
     */
    public boolean isLimited(MonotonicTime now) {
        return limitPerSecond(now).isPresent();
    }

    /**
     * Returns the limit.
     *
     * @param now the current time
     * @return the requests a second that the upstream accepts from all VMs together, empty if it is not limited
     */
    public Optional<Double> limitPerSecond(MonotonicTime now) {
        Optional<Double> observed = stated.perSecond(now);
        if (!isCold(now)) {
            return observed;
        }
        return Optional.of(observed.map(limit -> Math.min(limit, coldPerSecond)).orElse(coldPerSecond));
    }

    /**
     * Returns whether responses of the upstream state a limit, which lasts, other than that of a cold upstream.
     *
     * @param now the current time
     * @return true from the first observation of a limit until its end
     */
    public boolean isObservedLimited(MonotonicTime now) {
        return stated.isLimited(now);
    }

    /**
     * Returns when a VM last observed the limit.
     *
     * @param now the current time
     * @return the time, empty if the upstream is not limited
     */
    public Optional<MonotonicTime> observedAt(MonotonicTime now) {
        return stated.observedAt(now);
    }

    /**
     * Sets this VM's share of the limit.
     *
     * @param requestsPerSecond the share, 0 if this VM may not send anything
     * @param now the current time
     */
    public void setShare(double requestsPerSecond, MonotonicTime now) {
        fill(now);
        sharePerSecond = requestsPerSecond;
        if (requestsPerSecond == 0) {
            level = Math.min(level, 0);
        }
    }

    private void fill(MonotonicTime now) {
        level = Math.min(CAPACITY, level + sharePerSecond * now.secondsSince(filledAt));
        filledAt = now;
    }

    /**
     * Returns whether this VM may send a request now.
     *
     * @param now the current time
     * @return true if the upstream is not limited or this VM has not used up its share
     */
    public boolean mayReceive(MonotonicTime now) {
        fill(now);
        return !isLimited(now) || level >= CAPACITY;
    }

    /**
     * Records that a request is sent.
     *
     * @param now the current time
     */
    public void recordSent(MonotonicTime now) {
        if (isLimited(now)) {
            fill(now);
            level -= 1;
        }
    }

    /**
     * Estimates when the upstream accepts another request.
     *
     * @param now the current time
     * @return the time until this VM's share allows a request, or without a share until any VM's does
     */
    public Duration timeUntilNext(MonotonicTime now) {
        if (mayReceive(now)) {
            return Duration.ZERO;
        }
        double missing = sharePerSecond > 0 ? CAPACITY - level : 1;
        double rate = sharePerSecond > 0 ? sharePerSecond : limitPerSecond(now).orElse(MINIMUM_RATE_PER_SECOND);
        return Duration.ofMillis(
                (long) Math.ceil(missing * MILLISECONDS_PER_SECOND / Math.max(rate, MINIMUM_RATE_PER_SECOND)));
    }
}
