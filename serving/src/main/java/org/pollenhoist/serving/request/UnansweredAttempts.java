package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Attempts that this VM gave up before an answer, since the caller left, the deadline passed or the upstream fell
 * silent. Where the upstream turns out to have ended then, the request may be why. Confined to the event loop.
 */
public final class UnansweredAttempts {

    /** Longest time between the end of an upstream and the lapse of its entry here. */
    private static final Duration REMEMBERED = Duration.ofSeconds(10);

    private static final int MAXIMUM_ATTEMPTS = 2_048;

    /** How long before its end an upstream may have dropped a request without a word. */
    private static final Duration TIME_TO_CRASH = Duration.ofMillis(500);

    private record Unanswered(RequestFingerprint request, Upstream upstream, MonotonicTime endedAt) {}

    private final CrashQuarantine quarantine;
    private final Deque<Unanswered> attempts = new ArrayDeque<>();

    /**
     * Creates an empty memory.
     *
     * @param quarantine is told the crashes under these attempts
     */
    public UnansweredAttempts(CrashQuarantine quarantine) {
        this.quarantine = quarantine;
    }

    /**
     * Notes an attempt that is given up.
     *
     * @param request the request
     * @param upstream where it was sent
     * @param now the present time
     */
    void add(RequestFingerprint request, Upstream upstream, MonotonicTime now) {
        if (upstream.hasEndedUnexpectedly()) {
            quarantine.recordBreak(request, upstream.lifetime(), now);
            return;
        }
        while (attempts.size() >= MAXIMUM_ATTEMPTS || isForgotten(attempts.peekFirst(), now)) {
            attempts.removeFirst();
        }
        attempts.addLast(new Unanswered(request, upstream, now));
    }

    private static boolean isForgotten(Unanswered oldest, MonotonicTime now) {
        return oldest != null && now.since(oldest.endedAt()).compareTo(REMEMBERED) > 0;
    }

    /**
     * Takes in that an upstream has ended without having said that it leaves.
     *
     * @param upstream the upstream
     * @param now the present time
     */
    public void upstreamEnded(Upstream upstream, MonotonicTime now) {
        for (Unanswered attempt : attempts) {
            boolean isThere = attempt.upstream() == upstream && !isForgotten(attempt, now);
            boolean hasLivedOn = attempt.endedAt().plus(TIME_TO_CRASH).isBefore(upstream.lastActivityAt());
            if (isThere && !hasLivedOn) {
                quarantine.recordBreak(attempt.request(), upstream.lifetime(), now);
            }
        }
        attempts.removeIf(attempt -> attempt.upstream() == upstream);
    }
}
