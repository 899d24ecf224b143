package org.pollenhoist.experiments.serving;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.ModelRequest;
import org.pollenhoist.serving.request.PromptSegment;
import org.pollenhoist.serving.request.RequestQueue;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.routing.SelectionRequest;
import org.pollenhoist.serving.upstream.Upstream;

/** One try of a caller's request at a VM: the part of a request's life that waits, is sent or is refused. */
final class SimulatedRequest implements RequestQueue.QueuedRequest, EngineRun.Listener {

    private static final long GAP_GOAL_MILLISECONDS = 400;
    private static final long LEAST_PATIENCE_MILLISECONDS = 3_200;

    /** What a caller asks for. */
    record Asked(
            RequestClass kind,
            String model,
            String adapter,
            List<PromptSegment> parts,
            long promptTokens,
            long outputTokens,
            long firstAskedAt,
            boolean isFirstTry) {

        long totalTokens() {
            return promptTokens + outputTokens;
        }

        /** The same, asked once more after a refusal. */
        Asked again() {
            return new Asked(kind, model, adapter, parts, promptTokens, outputTokens, firstAskedAt, false);
        }
    }

    /** How a try can end. */
    interface Ending {

        void served(Asked asked, boolean isOnTime, long at);

        void refused(Asked asked, Duration retryAfter, String reason);

        void failed(Asked asked, String reason);
    }

    private final FleetSimulation fleet;
    private final SimulatedVm vm;
    private final Asked asked;
    private final long number;
    private final Ending ending;
    private final MonotonicTime arrivedAt;
    private final MonotonicTime deadline;
    private final Set<String> excluded = new HashSet<>();
    private Optional<ModelRequest> want = Optional.empty();
    private boolean isWaiting;
    private boolean isEnded;
    private Upstream upstream;
    private EngineRun run;
    private long sentAt;
    private long unreadAhead;
    private long unreadTokens;
    private long lastTokenAt;
    private boolean isLate;

    SimulatedRequest(FleetSimulation fleet, SimulatedVm vm, Asked asked, long number, Ending ending) {
        this.fleet = fleet;
        this.vm = vm;
        this.asked = asked;
        this.number = number;
        this.ending = ending;
        this.arrivedAt = fleet.now();
        this.deadline = fleet.at(asked.firstAskedAt() + asked.kind().deadlineMilliseconds());
    }

    void start() {
        vm.promptSizes.observe(asked.kind().name(), asked.promptTokens());
        vm.demand.recordReceived(asked.model(), work(), fleet.now());
        tryStart(fleet.now());
    }

    private long work() {
        return vm.pace.uncontendedMicroseconds(asked.model(), asked.promptTokens());
    }

    @Override
    public int priority() {
        return asked.kind().priority();
    }

    @Override
    public long number() {
        return number;
    }

    @Override
    public Optional<ModelRequest> modelRequest() {
        return want;
    }

    private MonotonicTime leavesAt() {
        long patience = Math.max(LEAST_PATIENCE_MILLISECONDS, 4 * asked.kind().goalMilliseconds());
        return arrivedAt.plus(Duration.ofMillis(patience)).earlierOf(deadline);
    }

    @Override
    public boolean tryStart(MonotonicTime now) {
        if (isEnded) {
            return true;
        }
        SelectionRequest request = new SelectionRequest(
                HeavyDay.SERVICE,
                asked.model(),
                asked.adapter(),
                asked.promptTokens(),
                vm.promptSizes.mean(asked.kind().name()),
                asked.totalTokens(),
                asked.parts(),
                priority(),
                arrivedAt,
                deadline,
                Duration.ofMillis(asked.kind().goalMilliseconds()),
                fleet.shortestGoals(),
                leavesAt(),
                Set.of(),
                excluded,
                Set.of());
        switch (vm.selector.select(request, fleet.service(), vm.upstreams, now)) {
            case Selection.Send send -> send(send, now);
            case Selection.Wait wait -> enqueue(wait);
            case Selection.Refuse refusal -> {
                leaveQueue();
                isEnded = true;
                ending.refused(asked, refusal.retryAfter(), refusal.reason());
            }
        }
        return !isWaiting;
    }

    private void enqueue(Selection.Wait wait) {
        boolean isCopyThere = vm.upstreams.countWithModel(HeavyDay.SERVICE, asked.model(), Set.of()) > 0;
        want = wait.needsPlacement()
                ? Optional.of(new ModelRequest(HeavyDay.SERVICE, asked.model(), isCopyThere ? asked.adapter() : ""))
                : Optional.empty();
        if (!isWaiting) {
            isWaiting = true;
            vm.queue.add(this);
            fleet.after(Math.max(1, leavesAt().since(fleet.now()).toMillis()), this::expire);
            want.ifPresent(ignored -> fleet.wantBegan());
        }
    }

    private void expire() {
        if (isWaiting && !isEnded) {
            leaveQueue();
            isEnded = true;
            ending.failed(asked, "expired_waiting");
        }
    }

    private void leaveQueue() {
        if (isWaiting) {
            isWaiting = false;
            vm.queue.remove(this);
        }
    }

    private void send(Selection.Send send, MonotonicTime now) {
        Upstream chosen = send.upstream();
        leaveQueue();
        want = Optional.empty();
        if (upstream == null) {
            vm.demand.recordSent(asked.model(), work(), now);
        }
        upstream = chosen;
        unreadAhead = chosen.load(now).tokensAwaitingPrefill();
        unreadTokens = asked.promptTokens() - send.saving().keptTokens();
        chosen.begin(unreadTokens, asked.totalTokens());
        if (!asked.adapter().isEmpty()) {
            chosen.adapterUses().record(asked.model() + "/" + asked.adapter(), now);
        }
        sentAt = fleet.milliseconds();
        run = new EngineRun(
                asked.model(),
                asked.adapter(),
                asked.parts(),
                asked.promptTokens(),
                asked.outputTokens(),
                priority(),
                sentAt,
                this);
        EngineRun sent = run;
        fleet.after(1, () -> fleet.deliver(chosen.description().identifier(), sent));
        fleet.after(Math.max(1, leavesAt().since(now).toMillis()), () -> leave(sent));
    }

    /** The caller leaves where nothing has come. */
    private void leave(EngineRun left) {
        if (!isEnded && run == left && left.madeTokens == 0) {
            left.isCancelled = true;
            finish();
            ending.failed(asked, "caller_left");
        }
    }

    private void finish() {
        isEnded = true;
        upstream.end(run.madeTokens == 0 ? unreadTokens : 0, asked.totalTokens());
    }

    @Override
    public void onToken(boolean isFirst) {
        if (isEnded) {
            return;
        }
        long at = fleet.milliseconds();
        if (isFirst) {
            upstream.recordFirstToken(unreadTokens);
            vm.pace.observe(asked.model(), unreadAhead + unreadTokens, Duration.ofMillis(at - sentAt));
            upstream.keptPrompts().add(asked.model(), asked.adapter(), asked.parts(), fleet.now());
            isLate = at - asked.firstAskedAt() > asked.kind().goalMilliseconds();
        } else if (at - lastTokenAt > GAP_GOAL_MILLISECONDS) {
            isLate = true;
        }
        lastTokenAt = at;
    }

    @Override
    public void onComplete() {
        if (!isEnded) {
            finish();
            upstream.record(false, fleet.now());
            ending.served(asked, !isLate, fleet.milliseconds());
        }
    }

    @Override
    public void onRejected() {
        if (isEnded) {
            return;
        }
        upstream.end(unreadTokens, asked.totalTokens());
        upstream.markMissing(asked.model(), asked.adapter());
        excluded.add(upstream.description().identifier());
        tryStart(fleet.now());
    }

    @Override
    public void onBroken() {
        if (!isEnded) {
            finish();
            upstream.record(true, fleet.now());
            ending.failed(asked, "broken");
        }
    }

    @Override
    public void onUnreachable() {
        if (!isEnded) {
            upstream.end(unreadTokens, asked.totalTokens());
            upstream.markUnreachable(fleet.now());
            excluded.add(upstream.description().identifier());
            tryStart(fleet.now());
        }
    }
}
