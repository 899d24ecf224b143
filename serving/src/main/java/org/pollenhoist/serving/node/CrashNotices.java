package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashNotice;

/**
 * Notices of this VM on requests that crash upstreams. Each goes into all digests of the next seconds, since one
 * datagram may be lost. Confined to the event loop.
 */
final class CrashNotices {

    /** How long a notice is repeated. */
    private static final Duration REPEATED_FOR = Duration.ofSeconds(2);

    /** Notices in one digest at the most. */
    private static final int MAXIMUM_NOTICES = 64;

    private record Dated(CrashNotice notice, MonotonicTime until) {}

    private final Deque<Dated> notices = new ArrayDeque<>();
    private final Supplier<MonotonicTime> clock;

    CrashNotices(Supplier<MonotonicTime> clock) {
        this.clock = clock;
    }

    void add(CrashNotice notice) {
        notices.addLast(new Dated(notice, clock.get().plus(REPEATED_FOR)));
        if (notices.size() > MAXIMUM_NOTICES) {
            notices.removeFirst();
        }
    }

    List<CrashNotice> current(MonotonicTime now) {
        notices.removeIf(dated -> !now.isBefore(dated.until()));
        return notices.stream().map(Dated::notice).toList();
    }
}
