package org.pollenhoist.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;

/** The recent crashes of one upstream. Not thread-safe: guarded by the quarantine's lock. */
final class UpstreamCrashes {

    private static final Duration ONE_CRASH = Duration.ofSeconds(1);
    private static final Duration REMEMBERED = Duration.ofMinutes(2);
    private static final int CRASHES_OF_A_FAULTY_UPSTREAM = 3;

    private final ArrayDeque<Crash> crashes = new ArrayDeque<>();

    private record Crash(UpstreamLifetime lifetime, MonotonicTime start, Set<RequestFingerprint> fingerprints) {

        /** A lifetime ends once; where it is not known, what breaks within a moment belongs to one crash. */
        private boolean isSame(UpstreamLifetime broken, MonotonicTime now) {
            return broken.isStartKnown()
                    ? lifetime.equals(broken)
                    : now.since(start).compareTo(ONE_CRASH) < 0;
        }
    }

    void record(RequestFingerprint fingerprint, UpstreamLifetime lifetime, MonotonicTime now) {
        Crash last = crashes.peekLast();
        if (last == null || !last.isSame(lifetime, now)) {
            last = new Crash(lifetime, now, new HashSet<>());
            crashes.addLast(last);
        }
        last.fingerprints().add(fingerprint);
        forgetOld(now);
    }

    /** The upstream lives on, so that this was no crash. */
    void refute(UpstreamLifetime lifetime) {
        crashes.removeIf(crash -> crash.lifetime().equals(lifetime));
    }

    /** Several crashes that no single request can explain. */
    boolean isFaulty(MonotonicTime now) {
        forgetOld(now);
        if (crashes.size() < CRASHES_OF_A_FAULTY_UPSTREAM) {
            return false;
        }
        Set<RequestFingerprint> inAll = new HashSet<>(crashes.getFirst().fingerprints());
        crashes.forEach(crash -> inAll.retainAll(crash.fingerprints()));
        return inAll.isEmpty();
    }

    boolean isEmpty(MonotonicTime now) {
        forgetOld(now);
        return crashes.isEmpty();
    }

    private void forgetOld(MonotonicTime now) {
        while (!crashes.isEmpty() && now.since(crashes.getFirst().start()).compareTo(REMEMBERED) > 0) {
            crashes.removeFirst();
        }
    }
}
