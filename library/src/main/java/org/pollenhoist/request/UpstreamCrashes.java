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

    private record Crash(MonotonicTime start, Set<RequestFingerprint> fingerprints) {}

    void record(RequestFingerprint fingerprint, MonotonicTime now) {
        Crash last = crashes.peekLast();
        if (last == null || now.since(last.start()).compareTo(ONE_CRASH) >= 0) {
            last = new Crash(now, new HashSet<>());
            crashes.addLast(last);
        }
        last.fingerprints().add(fingerprint);
        forgetOld(now);
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

    private void forgetOld(MonotonicTime now) {
        while (!crashes.isEmpty() && now.since(crashes.getFirst().start()).compareTo(REMEMBERED) > 0) {
            crashes.removeFirst();
        }
    }
}
