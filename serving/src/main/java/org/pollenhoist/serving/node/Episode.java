package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * Tells when a disturbance begins and when it is over, each once. A disturbance begins when it has lasted for a minimum
 * time, and is over when it has been absent for a while, so that one that comes and goes is a single episode.
 */
final class Episode {

    /** What an update has changed. */
    sealed interface Change {

        /**
         * An episode has begun.
         *
         * @param since when the disturbance began
         */
        record Begun(MonotonicTime since) implements Change {}

        /**
         * The episode is over.
         *
         * @param since when the disturbance began
         * @param until when the disturbance was first seen to be absent for good
         */
        record Ended(MonotonicTime since, MonotonicTime until) implements Change {}
    }

    private final Duration minimumDuration;
    private final Duration settlingTime;
    private Optional<MonotonicTime> since = Optional.empty();
    private Optional<MonotonicTime> absentSince = Optional.empty();

    /**
     * Creates an instance outside an episode.
     *
     * @param minimumDuration how long a disturbance has to last to begin an episode
     * @param settlingTime how long it has to be absent, or shorter than that, to end the episode
     */
    Episode(Duration minimumDuration, Duration settlingTime) {
        this.minimumDuration = minimumDuration;
        this.settlingTime = settlingTime;
    }

    /**
     * Records the present state.
     *
     * @param disturbedSince when the present disturbance began, empty if there is none
     * @param now the current time
     * @return the change, empty if an episode neither begins nor ends
     */
    Optional<Change> update(Optional<MonotonicTime> disturbedSince, MonotonicTime now) {
        boolean isDisturbed = disturbedSince
                .filter(begin -> now.since(begin).compareTo(minimumDuration) >= 0)
                .isPresent();
        if (since.isEmpty()) {
            since = isDisturbed ? disturbedSince : since;
            return since.map(Change.Begun::new);
        }
        if (isDisturbed) {
            absentSince = Optional.empty();
            return Optional.empty();
        }
        MonotonicTime absent = absentSince.orElse(now);
        absentSince = Optional.of(absent);
        if (now.since(absent).compareTo(settlingTime) < 0) {
            return Optional.empty();
        }
        Change ended = new Change.Ended(since.get(), absent);
        since = Optional.empty();
        absentSince = Optional.empty();
        return Optional.of(ended);
    }
}
