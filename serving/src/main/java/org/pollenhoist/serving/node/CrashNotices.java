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
 * Selects the notices about requests that crash upstreams for each digest. A new notice is included in every digest for
 * some seconds, since single datagrams may be lost. Active verdicts are repeated in rotation, for VMs that start or
 * reconnect later. Confined to the event loop.
 */
final class CrashNotices {

    /** How long a new notice is repeated. */
    private static final Duration REPEAT_DURATION = Duration.ofSeconds(2);

    /** Maximum number of new notices that are kept and sent in one digest; the oldest is dropped first. */
    private static final int MAX_NEW_NOTICES = 64;

    /** Maximum number of active verdicts in one digest, in addition to new notices. */
    private static final int VERDICTS_PER_DIGEST = 4;

    private record RepeatedNotice(CrashNotice notice, MonotonicTime until) {}

    private final Deque<RepeatedNotice> newNotices = new ArrayDeque<>();
    private final Function<MonotonicTime, List<CrashNotice>> verdicts;
    private int nextVerdict;

    /**
     * Creates an instance without new notices.
     *
     * @param verdicts returns the verdicts that are active at a given time
     */
    CrashNotices(Function<MonotonicTime, List<CrashNotice>> verdicts) {
        this.verdicts = verdicts;
    }

    void add(CrashNotice notice, MonotonicTime now) {
        newNotices.addLast(new RepeatedNotice(notice, now.plus(REPEAT_DURATION)));
        if (newNotices.size() > MAX_NEW_NOTICES) {
            newNotices.removeFirst();
        }
    }

    boolean hasNewNotices(MonotonicTime now) {
        newNotices.removeIf(repeated -> !now.isBefore(repeated.until()));
        return !newNotices.isEmpty();
    }

    /** Returns the notices for the next digest. */
    List<CrashNotice> next(MonotonicTime now) {
        List<CrashNotice> selected = new ArrayList<>();
        if (hasNewNotices(now)) {
            newNotices.forEach(repeated -> selected.add(repeated.notice()));
        }
        List<CrashNotice> activeVerdicts = verdicts.apply(now);
        int count = Math.min(VERDICTS_PER_DIGEST, activeVerdicts.size());
        for (int index = 0; index < count; index++) {
            selected.add(activeVerdicts.get(Math.floorMod(nextVerdict++, activeVerdicts.size())));
        }
        return selected;
    }
}
