package org.pollenhoist.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/** The recent crashes of one upstream. Not thread-safe: guarded by the quarantine's lock. */
final class UpstreamCrashes {

    private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(1);
    private static final Duration RETENTION = Duration.ofMinutes(2);
    private static final int MINIMUM_CRASHES_OF_FAULTY_UPSTREAM = 3;

    private final ArrayDeque<Crash> crashes = new ArrayDeque<>();

    private record Crash(UpstreamLifetime lifetime, MonotonicTime start, Set<RequestFingerprint> fingerprints) {

        /**
         * Returns whether a broken connection belongs to this crash: each lifetime ends with one crash. If the start of
         * the lifetime is unknown, connections that break within {@link #SAME_CRASH_WINDOW} count as one crash.
         */
        private boolean isSame(UpstreamLifetime broken, MonotonicTime now) {
            return broken.isStartKnown()
                    ? lifetime.equals(broken)
                    : now.since(start).compareTo(SAME_CRASH_WINDOW) < 0;
        }
    }

    void record(RequestFingerprint fingerprint, UpstreamLifetime lifetime, MonotonicTime now) {
        Crash last = crashes.peekLast();
        if (last == null || !last.isSame(lifetime, now)) {
            last = new Crash(lifetime, now, new HashSet<>());
            crashes.addLast(last);
        }
        last.fingerprints().add(fingerprint);
        removeExpired(now);
    }

    /** Removes the crash of a lifetime, since the upstream turned out to be still running. */
    void refute(UpstreamLifetime lifetime) {
        crashes.removeIf(crash -> crash.lifetime().equals(lifetime));
    }

    /** Returns whether the upstream crashed several times without one request that was executing at every crash. */
    boolean isFaulty(MonotonicTime now) {
        removeExpired(now);
        if (crashes.size() < MINIMUM_CRASHES_OF_FAULTY_UPSTREAM) {
            return false;
        }
        Set<RequestFingerprint> presentAtAll = new HashSet<>(crashes.getFirst().fingerprints());
        crashes.forEach(crash -> presentAtAll.retainAll(crash.fingerprints()));
        return presentAtAll.isEmpty();
    }

    boolean isEmpty(MonotonicTime now) {
        removeExpired(now);
        return crashes.isEmpty();
    }

    private void removeExpired(MonotonicTime now) {
        while (!crashes.isEmpty() && now.since(crashes.getFirst().start()).compareTo(RETENTION) > 0) {
            crashes.removeFirst();
        }
    }
}
