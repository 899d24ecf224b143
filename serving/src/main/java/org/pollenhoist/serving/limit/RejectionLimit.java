package org.pollenhoist.serving.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * Bounds the requests that this VM has at one lifetime of a brittle upstream, which falls over when it has to reject
 * more than a stated number of requests in a second, those of all VMs together. While it is brittle, it may also queue
 * fewer.
 *
 * <p>At first a VM has as many requests there as before, or its part of the slots. Once the upstream has rejected a
 * request of any VM, it is full: from then on a VM sends a request only for each that ends. The bound grows at first at
 * a rate at which all VMs together cause half of the stated rejections, should the upstream still be full, and faster
 * while it rejects none. Confined to the event loop.
 */
public final class RejectionLimit {

    /** Fraction of the stated rejections that all VMs together may cause by their attempts to send more. */
    private static final double USED_FRACTION = 0.5;

    private static final double MAXIMUM_GROWTH_FACTOR = 4;

    /** How long a rejection is reported to peers, which need it once. */
    private static final Duration REJECTION_REPORTED_FOR = Duration.ofSeconds(1);

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final ObservedLimit stated = new ObservedLimit();
    private Optional<Double> assumed = Optional.empty();
    private Optional<MonotonicTime> ownRejectionAt = Optional.empty();
    private Optional<MonotonicTime> lastRejectionAt = Optional.empty();
    private double bound = Double.POSITIVE_INFINITY;
    private double growthPerSecond;
    private MonotonicTime grownAt;
    private MonotonicTime boundedSince;

    /**
     * Creates a limit that has not been stated.
     *
     * @param now the current time
     */
    public RejectionLimit(MonotonicTime now) {
        this.grownAt = now;
        this.boundedSince = now;
    }

    /**
     * Applies what a response states.
     *
     * @param notice what the response states of the rejections per second that the upstream bears
     * @param sentAt when the request was sent
     * @param now the current time
     * @return whether the other VMs should learn of it at once
     */
    public boolean observe(RateLimitNotice notice, MonotonicTime sentAt, MonotonicTime now) {
        boolean isNews = stated.observe(notice, sentAt, now);
        removeBoundUnlessBrittle(now);
        return isNews;
    }

    /**
     * Applies what a peer observed.
     *
     * @param observation its observation
     * @param now the current time
     * @return whether this changes what this VM knows
     */
    public boolean receive(LimitObservation observation, MonotonicTime now) {
        boolean isChange = stated.receive(observation);
        removeBoundUnlessBrittle(now);
        return isChange;
    }

    private void removeBoundUnlessBrittle(MonotonicTime now) {
        if (!isBrittle(now)) {
            bound = Double.POSITIVE_INFINITY;
        }
    }

    /**
     * Records that the upstream rejected a request of this VM for want of room.
     *
     * @param running the number of this VM's requests that are at the upstream, without the rejected one
     * @param now the current time
     * @return whether the other VMs should learn of it at once
     */
    public boolean recordRejection(int running, MonotonicTime now) {
        if (!isBrittle(now)) {
            return false;
        }
        ownRejectionAt = Optional.of(now);
        applyRejection(running, now);
        return true;
    }

    /**
     * Applies a rejection of a peer's request.
     *
     * @param running the number of this VM's requests that are at the upstream
     * @param at when the upstream rejected it
     * @param now the current time
     */
    public void receiveRejection(int running, MonotonicTime at, MonotonicTime now) {
        boolean isNew = lastRejectionAt.isEmpty() || lastRejectionAt.get().isBefore(at);
        if (isNew && isBrittle(now)) {
            applyRejection(running, now);
            lastRejectionAt = Optional.of(at);
        }
    }

    private void applyRejection(int running, MonotonicTime now) {
        lastRejectionAt = Optional.of(now);
        bound = Math.min(bound, running);
        grownAt = now;
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
     * Returns when the upstream last rejected a request of this VM, for other VMs.
     *
     * @param now the current time
     * @return the time, empty if there was none or they have been told
     */
    public Optional<MonotonicTime> reportableRejection(MonotonicTime now) {
        return ownRejectionAt.filter(at -> now.since(at).compareTo(REJECTION_REPORTED_FOR) < 0);
    }

    /**
     * Returns whether the upstream states that it is brittle, or is assumed to be.
     *
     * @param now the current time
     * @return true from the first observation until its end
     */
    public boolean isBrittle(MonotonicTime now) {
        return rejectionsPerSecond(now).isPresent();
    }

    /**
     * Returns the rejections that the upstream bears.
     *
     * @param now the current time
     * @return the number in a second, of all VMs together, empty if it is not brittle
     */
    public Optional<Double> rejectionsPerSecond(MonotonicTime now) {
        return stated.perSecond(now).or(() -> assumed);
    }

    /**
     * Returns the rejections that the upstream has stated to bear.
     *
     * @param now the current time
     * @return the number in a second, empty if it has stated none
     */
    public Optional<Double> statedPerSecond(MonotonicTime now) {
        return stated.perSecond(now);
    }

    /**
     * Updates the bound.
     *
     * @param ofService what other upstreams of the service state; it is assumed of one that has not stated anything yet
     * @param running the number of this VM's requests that are at the upstream
     * @param slots the number of requests that the upstream processes concurrently
     * @param vms the number of VMs that may send requests to it, this one included
     * @param now the current time
     */
    public void update(Optional<Double> ofService, int running, int slots, int vms, MonotonicTime now) {
        assumed = stated.hasBeenObserved() ? Optional.empty() : ofService;
        Optional<Double> rejections = rejectionsPerSecond(now);
        if (rejections.isEmpty()) {
            bound = Double.POSITIVE_INFINITY;
            grownAt = now;
            return;
        }
        growthPerSecond = rejections.get() * USED_FRACTION * growthFactor(now) / vms;
        if (bound == Double.POSITIVE_INFINITY) {
            bound = Math.max(running, Math.max(1, slots / vms));
            boundedSince = now;
        } else {
            bound = Math.min(slots, bound + growthPerSecond * now.secondsSince(grownAt));
        }
        grownAt = now;
    }

    /** Doubles with each second without a rejection, since the upstream then has room. */
    private double growthFactor(MonotonicTime now) {
        MonotonicTime since =
                lastRejectionAt.filter(at -> boundedSince.isBefore(at)).orElse(boundedSince);
        return Math.min(MAXIMUM_GROWTH_FACTOR, Math.scalb(1.0, (int) now.secondsSince(since)));
    }

    /**
     * Returns whether this VM may send the upstream a request now.
     *
     * @param running the number of this VM's requests that are at the upstream
     * @return false if one more would exceed the bound
     */
    public boolean mayReceive(int running) {
        return running + 1 <= bound;
    }

    /**
     * Estimates when this VM may send the upstream a request.
     *
     * @param running the number of this VM's requests that are at the upstream
     * @return the time until the bound allows one more, if none ends before
     */
    public Duration timeUntilNext(int running) {
        if (mayReceive(running) || growthPerSecond == 0) {
            return Duration.ZERO;
        }
        double missing = running + 1 - bound;
        return Duration.ofMillis((long) Math.ceil(missing * MILLISECONDS_PER_SECOND / growthPerSecond));
    }
}
