package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * The request rate that one lifetime of an upstream accepts from all VMs together, and this VM's share of it. A VM
 * sends at most one request ahead of its share, so that the sum over all VMs stays close to the limit.
 *
 * <p>The limit was observed in a response, by this VM or by a peer; of two observations the later one applies. Confined
 * to the event loop.
 */
public final class RequestRateLimit {

    /** Time without an observation of any VM after which a limit no longer applies. */
    private static final Duration LIMIT_VALIDITY = Duration.ofSeconds(30);

    /** How long a VM reports its observations. An observation that ends a limit is remembered for longer. */
    private static final Duration REPORTED_FOR = Duration.ofSeconds(10);

    /** Change of the limit, as a fraction, from which the other VMs are told at once. */
    private static final double URGENT_CHANGE = 0.1;

    /** Lowest rate assumed for the time until an upstream accepts another request, in requests per second. */
    private static final double MINIMUM_RATE_PER_SECOND = 0.2;

    private static final double CAPACITY = 1;
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    /**
     * What a VM observed.
     *
     * @param notice what a response stated
     * @param observedAt when it was received
     */
    public record Observation(RateLimitNotice notice, MonotonicTime observedAt) {}

    private Optional<Observation> latest = Optional.empty();
    private Optional<Observation> own = Optional.empty();
    private Optional<RateLimitNotice> announced = Optional.empty();
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
        boolean isRelevant = switch (notice) {
            case RateLimitNotice.Limited limited -> true;
            case RateLimitNotice.Unlimited unlimited ->
                isLimited(now) && latest.get().observedAt().isBefore(sentAt);
            case RateLimitNotice.Unreadable unreadable -> false;
        };
        if (!isRelevant) {
            return false;
        }
        own = Optional.of(new Observation(notice, now));
        apply(own.get());
        return takeUrgency(notice);
    }

    private boolean takeUrgency(RateLimitNotice notice) {
        boolean isUrgent = announced.isEmpty() || isUrgentChange(announced.get(), notice);
        if (isUrgent) {
            announced = Optional.of(notice);
        }
        return isUrgent;
    }

    private static boolean isUrgentChange(RateLimitNotice before, RateLimitNotice after) {
        if (before instanceof RateLimitNotice.Limited old && after instanceof RateLimitNotice.Limited limited) {
            return Math.abs(limited.requestsPerSecond() - old.requestsPerSecond())
                    > URGENT_CHANGE * old.requestsPerSecond();
        }
        return !before.equals(after);
    }

    /**
     * Applies what a peer observed.
     *
     * @param observation its observation
     * @return whether this changes what this VM knows of the limit
     */
    public boolean receive(Observation observation) {
        boolean isLater = latest.isEmpty() || latest.get().observedAt().isBefore(observation.observedAt());
        if (!isLater) {
            return false;
        }
        boolean isChange = latest.map(known -> isUrgentChange(known.notice(), observation.notice()))
                .orElse(true);
        apply(observation);
        announced = Optional.of(observation.notice());
        return isChange;
    }

    private void apply(Observation observation) {
        boolean wasLimited = latest.isPresent() && latest.get().notice() instanceof RateLimitNotice.Limited;
        latest = Optional.of(observation);
        if (!wasLimited) {
            level = 0;
            sharePerSecond = 0;
        }
    }

    /**
     * Returns this VM's own latest observation, for other VMs.
     *
     * @param now the current time
     * @return the observation, empty if there is none or it is too old
     */
    public Optional<Observation> reportable(MonotonicTime now) {
        return own.filter(observation -> now.since(observation.observedAt()).compareTo(REPORTED_FOR) < 0);
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
        return latest.filter(observation -> now.since(observation.observedAt()).compareTo(LIMIT_VALIDITY) < 0)
                .map(Observation::notice)
                .filter(RateLimitNotice.Limited.class::isInstance)
                .map(notice -> ((RateLimitNotice.Limited) notice).requestsPerSecond());
    }

    /**
     * Returns when a VM last observed the limit.
     *
     * @param now the current time
     * @return the time, empty if the upstream is not limited
     */
    public Optional<MonotonicTime> observedAt(MonotonicTime now) {
        return isLimited(now) ? latest.map(Observation::observedAt) : Optional.empty();
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
