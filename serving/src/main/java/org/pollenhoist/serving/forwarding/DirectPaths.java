package org.pollenhoist.serving.forwarding;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.UpstreamLifetime;

/**
 * Tells whether this VM reaches upstreams over connections of its own. A partition may refuse or reset connections, or
 * let them hang; some may live on while new ones can't be opened. Confined to the event loop.
 *
 * <p>A path to one upstream is doubtful from a failed attempt to connect until the upstream is heard again. That the
 * upstream has crashed looks the same from here, so a peer is asked to send the request, who finds out. All paths hang
 * if connections to several upstreams time out while none is heard.
 */
public final class DirectPaths {

    /** How long an attempt to connect that timed out counts as evidence that all paths hang. */
    private static final Duration TIMEOUT_EVIDENCE = Duration.ofSeconds(3);

    /** Number of upstreams to which connections must time out before all paths are taken to hang. */
    private static final int HANGING_UPSTREAMS = 2;

    /** How long a peer's failure to reach an upstream counts: others are not asked meanwhile. */
    private static final Duration PEER_FAILURE_VALIDITY = Duration.ofSeconds(1);

    /** Interval between trial connections of this VM while paths are doubtful. */
    private static final Duration TRIAL_INTERVAL = Duration.ofMillis(500);

    /** Silence of all upstreams, with requests unanswered, after which a trial connection is opened. */
    private static final Duration SUSPICIOUS_SILENCE = Duration.ofMillis(400);

    /** Sorts before any time at which a trial connection was opened. */
    private static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 2);

    private static final DecisionLog LOG = DecisionLog.of("upstream");

    private static final class Path {

        private Optional<MonotonicTime> failedAt = Optional.empty();
        private Optional<MonotonicTime> timedOutAt = Optional.empty();
        private Optional<MonotonicTime> failedForPeerAt = Optional.empty();
        private Optional<MonotonicTime> lastTrialAt = Optional.empty();
        private Optional<MonotonicTime> unansweredSince = Optional.empty();
    }

    private final Map<UpstreamLifetime, Path> paths = new HashMap<>();
    private MonotonicTime lastHeardAt;
    private MonotonicTime lastTrialAt;
    private boolean isHanging;

    /**
     * Creates an instance that doubts no path.
     *
     * @param now the current time
     */
    public DirectPaths(MonotonicTime now) {
        lastHeardAt = now;
        lastTrialAt = now;
    }

    private Path path(UpstreamLifetime upstream) {
        return paths.computeIfAbsent(upstream, ignored -> new Path());
    }

    /**
     * Records that a request was sent over a connection of this VM.
     *
     * @param upstream the upstream
     * @param now the current time
     */
    public void recordSent(UpstreamLifetime upstream, MonotonicTime now) {
        Path path = path(upstream);
        if (path.unansweredSince.isEmpty()) {
            path.unansweredSince = Optional.of(now);
        }
    }

    /**
     * Records that the upstream was heard over a connection of this VM: one was opened, or data was received.
     *
     * @param upstream the upstream
     * @param now the current time
     */
    public void recordHeard(UpstreamLifetime upstream, MonotonicTime now) {
        lastHeardAt = now;
        Path path = path(upstream);
        path.unansweredSince = Optional.empty();
        if (path.failedAt.isPresent()) {
            path.failedAt = Optional.empty();
            path.timedOutAt = Optional.empty();
            LOG.event("path_regained", "upstream", upstream.upstream());
        }
        setHanging(false);
    }

    /**
     * Records that no connection could be opened.
     *
     * @param upstream the upstream
     * @param isTimeout whether the attempt timed out, rather than being refused
     * @param now the current time
     */
    public void recordFailure(UpstreamLifetime upstream, boolean isTimeout, MonotonicTime now) {
        Path path = path(upstream);
        if (path.failedAt.isEmpty()) {
            LOG.event("path_lost", "upstream", upstream.upstream(), "timeout", isTimeout);
        }
        path.failedAt = Optional.of(now);
        path.timedOutAt = isTimeout ? Optional.of(now) : Optional.empty();
        long timedOut = paths.values().stream()
                .flatMap(each -> each.timedOutAt.stream())
                .filter(at -> now.since(at).compareTo(TIMEOUT_EVIDENCE) < 0 && lastHeardAt.isBefore(at))
                .count();
        if (timedOut >= Math.min(HANGING_UPSTREAMS, paths.size())) {
            setHanging(true);
        }
    }

    private void setHanging(boolean hanging) {
        if (hanging != isHanging) {
            isHanging = hanging;
            LOG.event("paths_hang", "hanging", hanging);
        }
    }

    /**
     * Records that a peer did not reach the upstream either.
     *
     * @param upstream the upstream
     * @param now the current time
     */
    public void recordFailureForPeer(UpstreamLifetime upstream, MonotonicTime now) {
        path(upstream).failedForPeerAt = Optional.of(now);
    }

    /**
     * Returns whether all paths hang, so that open connections are not to be used either.
     *
     * @return true from the detection until an upstream is heard
     */
    public boolean isHanging() {
        return isHanging;
    }

    /**
     * Returns whether the last attempt to connect to an upstream failed.
     *
     * @param upstream the upstream
     * @return true until the upstream is heard
     */
    public boolean isDoubtful(UpstreamLifetime upstream) {
        Path path = paths.get(upstream);
        return isHanging || (path != null && path.failedAt.isPresent());
    }

    /**
     * Returns whether a peer may reach an upstream that this VM does not reach.
     *
     * @param upstream the upstream
     * @param now the current time
     * @return false if a peer has just failed to
     */
    public boolean mayBeReachedByPeer(UpstreamLifetime upstream, MonotonicTime now) {
        Path path = paths.get(upstream);
        return path == null
                || path.failedForPeerAt
                        .filter(at -> now.since(at).compareTo(PEER_FAILURE_VALIDITY) < 0)
                        .isEmpty();
    }

    /**
     * Returns whether most paths are doubtful, so that this VM can't send requests for others.
     *
     * @return true if at least half of them are
     */
    public boolean isCutOff() {
        long doubtful = paths.values().stream()
                .filter(path -> path.failedAt.isPresent())
                .count();
        return isHanging || (doubtful > 0 && 2 * doubtful >= paths.size());
    }

    /**
     * Returns the upstream to which a trial connection is due: one whose path is doubtful, or one that has not answered
     * while no upstream was heard. Forgets upstreams that are gone.
     *
     * @param registered the lifetimes of all registered upstreams
     * @param now the current time
     * @return the upstream, empty if no trial is due
     */
    public Optional<UpstreamLifetime> nextTrial(Collection<UpstreamLifetime> registered, MonotonicTime now) {
        paths.keySet().retainAll(registered);
        if (now.since(lastTrialAt).compareTo(TRIAL_INTERVAL) < 0) {
            return Optional.empty();
        }
        Optional<UpstreamLifetime> due = paths.entrySet().stream()
                .filter(entry -> isTrialUseful(entry.getValue(), now))
                .min(Comparator.comparing(
                        entry -> entry.getValue().lastTrialAt, Comparator.comparing(at -> at.orElse(NEVER))))
                .map(Map.Entry::getKey);
        due.ifPresent(upstream -> {
            lastTrialAt = now;
            path(upstream).lastTrialAt = Optional.of(now);
        });
        return due;
    }

    private boolean isTrialUseful(Path path, MonotonicTime now) {
        boolean isSilent = path.unansweredSince
                .filter(since -> isSuspicious(since, now) && isSuspicious(lastHeardAt, now))
                .isPresent();
        return path.failedAt.isPresent() || isSilent;
    }

    private static boolean isSuspicious(MonotonicTime since, MonotonicTime now) {
        return now.since(since).compareTo(SUSPICIOUS_SILENCE) >= 0;
    }
}
