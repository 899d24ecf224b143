package org.pollenhoist.serving.upstream;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/**
 * The load of one upstream as reported by peers, or by failure domains. Confined to the event loop.
 *
 * <p>The sum is kept between reports, since each choice of an upstream reads the sums of all candidates.
 */
final class LoadReports {

    /** How long a report remains valid; it spans the loss of one or two digests. */
    private static final Duration VALIDITY = Duration.ofMillis(1_300);

    /** The sum of the reports that are valid until a time, at which the oldest of them expires. */
    private record Sum(LoadSnapshot load, Optional<MonotonicTime> validUntil) {

        private boolean isValid(MonotonicTime now) {
            return validUntil.isEmpty() || !validUntil.get().isBefore(now);
        }
    }

    private final Map<String, LoadSnapshot> reports = new HashMap<>();
    private Optional<Sum> sum = Optional.empty();

    void put(String sender, LoadSnapshot load) {
        reports.put(sender, load);
        sum = Optional.empty();
    }

    void remove(String sender) {
        reports.remove(sender);
        sum = Optional.empty();
    }

    /** Returns a load together with that of all valid reports. */
    LoadSnapshot addedTo(LoadSnapshot own, MonotonicTime now) {
        if (reports.isEmpty()) {
            return own;
        }
        LoadSnapshot reported = sum(now).load();
        return new LoadSnapshot(
                own.running() + reported.running(),
                own.tokensAwaitingPrefill() + reported.tokensAwaitingPrefill(),
                own.reservedTokens() + reported.reservedTokens(),
                now);
    }

    private Sum sum(MonotonicTime now) {
        if (sum.filter(known -> known.isValid(now)).isEmpty()) {
            sum = Optional.of(addUp(now));
        }
        return sum.get();
    }

    private Sum addUp(MonotonicTime now) {
        int running = 0;
        long awaitingPrefill = 0;
        long reserved = 0;
        Optional<MonotonicTime> validUntil = Optional.empty();
        for (LoadSnapshot load : reports.values()) {
            MonotonicTime expiry = load.reportedAt().plus(VALIDITY);
            if (expiry.isBefore(now)) {
                continue;
            }
            running += load.running();
            awaitingPrefill += load.tokensAwaitingPrefill();
            reserved += load.reservedTokens();
            validUntil = Optional.of(validUntil.map(expiry::earlierOf).orElse(expiry));
        }
        return new Sum(new LoadSnapshot(running, awaitingPrefill, reserved, now), validUntil);
    }
}
