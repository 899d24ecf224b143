package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * A limit that an upstream states in its responses, as observed by this VM or by a peer; of two observations the later
 * one applies. Confined to the event loop.
 */
final class ObservedLimit {

    /** Time without an observation of any VM after which a limit no longer applies. */
    private static final Duration VALIDITY = Duration.ofSeconds(30);

    /** How long a VM reports its observations. An observation that ends a limit is remembered for longer. */
    private static final Duration REPORTED_FOR = Duration.ofSeconds(10);

    /** Change of the limit, as a fraction, from which the other VMs are told at once. */
    private static final double URGENT_CHANGE = 0.1;

    private Optional<LimitObservation> latest = Optional.empty();
    private Optional<LimitObservation> own = Optional.empty();
    private Optional<RateLimitNotice> announced = Optional.empty();

    /**
     * Applies what a response states. Only a response to a request that was sent after the limit was last observed can
     * end it, since responses may overtake each other.
     *
     * @return whether the other VMs should learn of it at once
     */
    boolean observe(RateLimitNotice notice, MonotonicTime sentAt, MonotonicTime now) {
        boolean isRelevant = switch (notice) {
            case RateLimitNotice.Limited limited -> true;
            case RateLimitNotice.Unlimited unlimited ->
                isLimited(now) && latest.get().observedAt().isBefore(sentAt);
            case RateLimitNotice.Unreadable unreadable -> false;
        };
        if (!isRelevant) {
            return false;
        }
        own = Optional.of(new LimitObservation(notice, now));
        latest = own;
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
            return Math.abs(limited.perSecond() - old.perSecond()) > URGENT_CHANGE * old.perSecond();
        }
        return !before.equals(after);
    }

    /** Applies what a peer observed; returns whether this changes what this VM knows of the limit. */
    boolean receive(LimitObservation observation) {
        boolean isLater = latest.isEmpty() || latest.get().observedAt().isBefore(observation.observedAt());
        if (!isLater) {
            return false;
        }
        boolean isChange = latest.map(known -> isUrgentChange(known.notice(), observation.notice()))
                .orElse(true);
        latest = Optional.of(observation);
        announced = Optional.of(observation.notice());
        return isChange;
    }

    /** Returns this VM's own latest observation, for other VMs; empty if there is none or it is too old. */
    Optional<LimitObservation> reportable(MonotonicTime now) {
        return own.filter(observation -> now.since(observation.observedAt()).compareTo(REPORTED_FOR) < 0);
    }

    /** Returns whether any VM has received a response that states whether there is a limit. */
    boolean hasBeenObserved() {
        return latest.isPresent();
    }

    /** Returns whether the last observation states a limit, however old it is. */
    boolean isLastKnownLimited() {
        return latest.filter(known -> known.notice() instanceof RateLimitNotice.Limited)
                .isPresent();
    }

    boolean isLimited(MonotonicTime now) {
        return perSecond(now).isPresent();
    }

    /** Returns the limit, empty if there is none. */
    Optional<Double> perSecond(MonotonicTime now) {
        return latest.filter(observation -> now.since(observation.observedAt()).compareTo(VALIDITY) < 0)
                .map(LimitObservation::notice)
                .filter(RateLimitNotice.Limited.class::isInstance)
                .map(notice -> ((RateLimitNotice.Limited) notice).perSecond());
    }

    /** Returns when a VM last observed the limit, empty if there is none. */
    Optional<MonotonicTime> observedAt(MonotonicTime now) {
        return isLimited(now) ? latest.map(LimitObservation::observedAt) : Optional.empty();
    }
}
