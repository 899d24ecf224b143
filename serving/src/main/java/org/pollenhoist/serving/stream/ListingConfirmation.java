package org.pollenhoist.serving.stream;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;

/**
 * How old this VM's knowledge of the listed versions is, counted from the sending of the call to the store that brought
 * or confirmed it. Where it is too old, the listings are read once more. Confined to the event loop.
 */
final class ListingConfirmation {

    /** Allowance for clocks of VMs that run at different rates. */
    private static final Duration CLOCK_TOLERANCE = Duration.ofMillis(500);

    private static final Duration MAXIMUM_AGE = ServiceVersions.ADOPTION_DELAY.minus(CLOCK_TOLERANCE);

    /** How long requests wait for the listings; the store usually responds within milliseconds. */
    private static final Duration TIMEOUT = Duration.ofMillis(400);

    /** Minimum time between two readings, which limits the calls while the store does not respond. */
    private static final Duration MINIMUM_SPACING = Duration.ofSeconds(1);

    private final Supplier<Optional<MonotonicTime>> mirrorKnownAsOf;
    private Optional<MonotonicTime> confirmedAsOf = Optional.empty();
    private Optional<MonotonicTime> readingSince = Optional.empty();
    private boolean isReading;

    ListingConfirmation(Supplier<Optional<MonotonicTime>> mirrorKnownAsOf) {
        this.mirrorKnownAsOf = mirrorKnownAsOf;
    }

    /** Returns the age of the knowledge, empty if it is too old to tell where a stream can have begun. */
    Optional<Duration> age(MonotonicTime now) {
        return youngest(mirrorKnownAsOf.get(), confirmedAsOf)
                .map(now::since)
                .filter(age -> age.compareTo(MAXIMUM_AGE) < 0);
    }

    private static Optional<MonotonicTime> youngest(Optional<MonotonicTime> one, Optional<MonotonicTime> other) {
        if (one.isPresent() && other.isPresent()) {
            return one.get().isBefore(other.get()) ? other : one;
        }
        return one.or(() -> other);
    }

    /** Returns whether the listings have to be read now, and notes that they are. */
    boolean startReading(MonotonicTime now) {
        boolean isTooSoon = readingSince
                .filter(since -> now.since(since).compareTo(MINIMUM_SPACING) < 0)
                .isPresent();
        if (isReading || isTooSoon) {
            return false;
        }
        isReading = true;
        readingSince = Optional.of(now);
        return true;
    }

    /** Returns whether it is worth waiting for the listings. */
    boolean isReading(MonotonicTime now) {
        return isReading
                && readingSince
                        .filter(since -> now.since(since).compareTo(TIMEOUT) < 0)
                        .isPresent();
    }

    /** Forgets what earlier readings confirmed, because the store has come back from an older copy. */
    void onNewEra() {
        confirmedAsOf = Optional.empty();
    }

    /** Ends a reading that was sent at the given time. */
    void endReading(MonotonicTime sentAt, boolean isConfirmed) {
        isReading = false;
        if (isConfirmed) {
            confirmedAsOf = Optional.of(sentAt);
        }
    }
}
