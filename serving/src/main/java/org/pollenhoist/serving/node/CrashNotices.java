package org.pollenhoist.serving.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Function;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.CrashNotice;

/**
 * What this VM tells its peers of requests that crash upstreams. News goes into all digests of the next seconds, since
 * one datagram may be lost; verdicts go on being told by turns, for VMs that start or return later. Confined to the
 * event loop.
 */
final class CrashNotices {

    /** How long news is repeated. */
    private static final Duration REPEATED_FOR = Duration.ofSeconds(2);

    /** News in one digest at the most. */
    private static final int MAXIMUM_NEWS = 64;

    /** Verdicts in one digest beside the news. */
    private static final int VERDICTS_AT_ONCE = 4;

    private record Dated(CrashNotice notice, MonotonicTime until) {}

    private final Deque<Dated> news = new ArrayDeque<>();
    private final Function<MonotonicTime, List<CrashNotice>> verdicts;
    private int nextVerdict;

    /**
     * Creates notices without news.
     *
     * @param verdicts the verdicts in force at a time
     */
    CrashNotices(Function<MonotonicTime, List<CrashNotice>> verdicts) {
        this.verdicts = verdicts;
    }

    void add(CrashNotice notice, MonotonicTime now) {
        news.addLast(new Dated(notice, now.plus(REPEATED_FOR)));
        if (news.size() > MAXIMUM_NEWS) {
            news.removeFirst();
        }
    }

    boolean hasNews(MonotonicTime now) {
        news.removeIf(dated -> !now.isBefore(dated.until()));
        return !news.isEmpty();
    }

    /** What the next digest tells. */
    List<CrashNotice> next(MonotonicTime now) {
        List<CrashNotice> told = new ArrayList<>();
        if (hasNews(now)) {
            news.forEach(dated -> told.add(dated.notice()));
        }
        List<CrashNotice> inForce = verdicts.apply(now);
        int count = Math.min(VERDICTS_AT_ONCE, inForce.size());
        for (int index = 0; index < count; index++) {
            told.add(inForce.get(Math.floorMod(nextVerdict++, inForce.size())));
        }
        return told;
    }
}
