package org.pollenhoist.serving.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.pollenhoist.common.MonotonicTime;

/**
 * How long work takes at one upstream compared with its usual, as the upstream states it in responses to this VM and to
 * its peers. Confined to the event loop.
 *
 * <p>Upstreams that share their machines with others change their pace many times a second. A single statement says
 * little, so statements are smoothed; an old one says nothing, so the pace returns to the usual one without new
 * statements.
 */
public final class UpstreamPace {

    /** The pace of an upstream that is as fast as usual. */
    public static final double USUAL = 1;

    /** Time over which statements are smoothed. */
    private static final Duration SMOOTHING_TIME = Duration.ofMillis(300);

    /** Several VMs may pass on statements at the same moment; each of them counts. */
    private static final double MINIMUM_WEIGHT = 0.05;

    /** Age at which the last statement says nothing any more; until then it counts less and less. */
    private static final Duration VALIDITY = Duration.ofSeconds(2);

    /** Age up to which this VM passes on what an upstream stated to it. */
    private static final Duration REPORTED_FOR = Duration.ofSeconds(1);

    /** Bounds of a pace; a statement beyond them is taken as the bound. */
    private static final double FASTEST = 0.25;

    private static final double SLOWEST = 20;

    private record Statement(double pace, MonotonicTime at) {}

    private Optional<Statement> smoothed = Optional.empty();
    private Optional<Statement> latestHere = Optional.empty();

    UpstreamPace() {}

    /**
     * Records what the upstream states in a response to this VM.
     *
     * @param pace the time that work takes there, as a multiple of its usual time
     * @param now the current time
     */
    public void observe(double pace, MonotonicTime now) {
        double bounded = Math.clamp(pace, FASTEST, SLOWEST);
        latestHere = Optional.of(new Statement(bounded, now));
        add(bounded, now);
    }

    /**
     * Records what the upstream has stated to a peer.
     *
     * @param pace the time that work takes there, as a multiple of its usual time
     * @param now the current time
     */
    public void receive(double pace, MonotonicTime now) {
        add(Math.clamp(pace, FASTEST, SLOWEST), now);
    }

    private void add(double pace, MonotonicTime now) {
        double known = at(now);
        double weight = smoothed.map(last -> weight(now.since(last.at()))).orElse(1.0);
        smoothed = Optional.of(new Statement(known + weight * (pace - known), now));
    }

    /** The weight of a statement beside earlier ones, the last of which came the given time before. */
    private static double weight(Duration gap) {
        double smoothingNanoseconds = SMOOTHING_TIME.toNanos();
        return Math.max(MINIMUM_WEIGHT, 1 - Math.exp(-gap.toNanos() / smoothingNanoseconds));
    }

    /**
     * Returns the pace.
     *
     * @param now the current time
     * @return the time that work takes there, as a multiple of its usual time; {@link #USUAL} if nothing is known
     */
    public double at(MonotonicTime now) {
        return smoothed.map(last -> faded(last, now)).orElse(USUAL);
    }

    /**
     * Returns how long work would have taken at the usual pace, for estimates that the pace is applied to later.
     *
     * @param elapsed how long it took
     * @param now the time at which it ended
     * @return the time at the usual pace
     */
    public Duration atUsualPace(Duration elapsed, MonotonicTime now) {
        return Duration.ofNanos(Math.round(elapsed.toNanos() / at(now)));
    }

    private static double faded(Statement statement, MonotonicTime now) {
        double age = Math.max(0, now.since(statement.at()).toNanos());
        double remaining = Math.max(0, 1 - age / VALIDITY.toNanos());
        return USUAL + (statement.pace() - USUAL) * remaining;
    }

    /**
     * Returns what the upstream has lately stated to this VM, for its peers.
     *
     * @param now the current time
     * @return the pace, empty if there is no recent statement
     */
    public OptionalDouble reportable(MonotonicTime now) {
        return latestHere
                .filter(statement -> now.since(statement.at()).compareTo(REPORTED_FOR) < 0)
                .map(statement -> OptionalDouble.of(statement.pace()))
                .orElse(OptionalDouble.empty());
    }
}
