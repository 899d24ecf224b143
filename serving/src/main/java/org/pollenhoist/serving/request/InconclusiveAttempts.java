package org.pollenhoist.serving.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.upstream.Upstream;

/**
 * Attempts whose end does not show whether their upstream crashed: those that this VM cancelled before they had a
 * response, and streams that broke off after their first event. If it turns out that the upstream ended at that time,
 * the request may have crashed it. Confined to the event loop.
 */
public final class InconclusiveAttempts {

    /** How long attempts are kept: the longest time from the end of an upstream until its entry expires here. */
    private static final Duration RETENTION = Duration.ofSeconds(10);

    private static final int MAXIMUM_ATTEMPTS = 2_048;

    /**
     * How long before its end a crashing upstream may stop responding to the request. An upstream that has responded to
     * others later than this after the attempt was cancelled did not crash because of it.
     */
    private static final Duration MAXIMUM_CRASH_DELAY = Duration.ofMillis(500);

    private record Inconclusive(CrashEvidence evidence, Upstream upstream, MonotonicTime endedAt) {}

    private final CrashRecorder recorder;
    private final Deque<Inconclusive> attempts = new ArrayDeque<>();

    /**
     * Creates an empty record.
     *
     * @param recorder receives crashes that these attempts may have caused
     */
    public InconclusiveAttempts(CrashRecorder recorder) {
        this.recorder = recorder;
    }

    /**
     * Adds an attempt.
     *
     * @param evidence what the attempt proves if the upstream has crashed
     * @param upstream the upstream that it was sent to
     * @param now the present time
     */
    void add(CrashEvidence evidence, Upstream upstream, MonotonicTime now) {
        if (upstream.hasEndedUnexpectedly()) {
            recorder.record(evidence, upstream.lifetime(), now);
            return;
        }
        while (attempts.size() >= MAXIMUM_ATTEMPTS || isExpired(attempts.peekFirst(), now)) {
            attempts.removeFirst();
        }
        attempts.addLast(new Inconclusive(evidence, upstream, now));
    }

    private static boolean isExpired(Inconclusive oldest, MonotonicTime now) {
        return oldest != null && now.since(oldest.endedAt()).compareTo(RETENTION) > 0;
    }

    /**
     * Reports attempts that may have crashed an upstream, and removes all attempts at it.
     *
     * @param upstream the upstream, which ended without an announcement that it leaves
     * @param now the present time
     */
    public void upstreamEnded(Upstream upstream, MonotonicTime now) {
        for (Inconclusive attempt : attempts) {
            boolean isAtUpstream = attempt.upstream() == upstream && !isExpired(attempt, now);
            boolean hasRespondedLater =
                    attempt.endedAt().plus(MAXIMUM_CRASH_DELAY).isBefore(upstream.lastActivityAt());
            if (isAtUpstream && !hasRespondedLater) {
                recorder.record(attempt.evidence(), upstream.lifetime(), now);
            }
        }
        attempts.removeIf(attempt -> attempt.upstream() == upstream);
    }
}
