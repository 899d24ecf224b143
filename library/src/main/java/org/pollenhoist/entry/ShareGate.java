package org.pollenhoist.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Team;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.Outgoing;
import org.pollenhoist.limit.ShareFrames;
import org.pollenhoist.limit.ShareMessage;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.limit.TeamLimit;
import org.pollenhoist.limit.WaitingRequest;
import org.pollenhoist.vm.Peer;
import org.pollenhoist.vm.PeerListener;
import org.pollenhoist.vm.PeerMessenger;
import org.pollenhoist.vm.generated.Frame;

/**
 * Joins the table of shares to the mesh of VMs and to waiting requests.
 *
 * <p>Thread-safe. A waiting request is decided by whoever removes it from its team's queue.
 */
final class ShareGate implements TokenGate, PeerListener, AutoCloseable {

    private static final DecisionLog LOG = DecisionLog.of("limit");

    /** Told for a request that never fits. */
    private static final Duration NEVER = Duration.ofDays(1);

    private final PeerMessenger mesh;

    private final ShareTable table;

    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(task -> daemon(task, "limit-timer"));

    private final Map<TeamName, Queue<Waiting>> waiting = new ConcurrentHashMap<>();

    private ShareGate(PeerMessenger mesh, ShareTable table) {
        this.mesh = mesh;
        this.table = table;
    }

    private record Waiting(WaitingRequest request, CompletableFuture<Decision> decision) {}

    static ShareGate start(PeerMessenger mesh, ShareTable table, ShareSettings settings) {
        ShareGate gate = new ShareGate(mesh, table);
        long interval = settings.statusInterval().toMillis();
        gate.timer.scheduleWithFixedDelay(gate::tick, interval, interval, TimeUnit.MILLISECONDS);
        return gate;
    }

    static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    void install(Configuration configuration, MonotonicTime now) {
        table.setLimits(
                configuration.teams().values().stream().collect(Collectors.toMap(Team::name, TeamLimit::of)), now);
    }

    @Override
    public CompletionStage<Decision> admit(TeamName team, double tokens, MonotonicTime now) {
        CompletableFuture<Decision> decision = new CompletableFuture<>();
        conclude(team, decision, table.admit(team, tokens, now), now);
        return decision;
    }

    private void conclude(TeamName team, CompletableFuture<Decision> decision, Admission admission, MonotonicTime now) {
        switch (admission) {
            case Admission.Admitted admitted ->
                decision.complete(
                        new Decision.Admitted((used, end) -> table.settle(admitted.reservation(), used, end)));
            case Admission.AskPeers question -> await(team, decision, question, now);
            case Admission.Refused refused -> refuse(team, decision, refused);
        }
    }

    private static void refuse(TeamName team, CompletableFuture<Decision> decision, Admission.Refused refused) {
        Duration retryAfter = refused.retryAfter().orElse(NEVER);
        LOG.event("refuse", "team", team, "reason", refused.reason().text(), "retry_after_ms", retryAfter.toMillis());
        decision.complete(new Decision.Refused(refused.reason().text(), retryAfter));
    }

    /** The request enters its queue before the question leaves, so that no answer can miss it. */
    private void await(
            TeamName team, CompletableFuture<Decision> decision, Admission.AskPeers question, MonotonicTime now) {
        Queue<Waiting> queue = waiting.computeIfAbsent(team, ignored -> new ConcurrentLinkedQueue<>());
        Waiting request = new Waiting(question.waiting(), decision);
        queue.add(request);
        send(question.messages());
        long delay = Math.max(0, question.decideAt().since(now).toNanos());
        timer.schedule(() -> retry(team, queue, request), delay, TimeUnit.NANOSECONDS);
    }

    private void retry(TeamName team, Queue<Waiting> queue, Waiting request) {
        if (queue.remove(request)) {
            MonotonicTime now = MonotonicTime.read();
            conclude(team, request.decision(), table.retry(request.request(), now), now);
        }
    }

    private void retryAll(TeamName team) {
        Queue<Waiting> queue = waiting.get(team);
        if (queue != null) {
            List.copyOf(queue).forEach(request -> retry(team, queue, request));
        }
    }

    private void send(List<Outgoing> messages) {
        messages.forEach(message -> mesh.send(message.to(), ShareFrames.toFrame(message.message())));
    }

    private void tick() {
        try {
            table.setPeers(mesh.connectedPeers());
            send(table.tick(MonotonicTime.read()));
        } catch (RuntimeException failure) {
            LOG.event("tick_failed", "reason", failure);
        }
    }

    @Override
    public void onFrame(Peer sender, Frame frame, MonotonicTime now) {
        ShareFrames.toMessage(frame).ifPresent(message -> {
            send(table.onMessage(sender.vm(), sender.incarnation(), message, now));
            if (message instanceof ShareMessage.Loan loan) {
                retryAll(loan.team());
            }
        });
    }

    @Override
    public void onConnected(Peer peer, MonotonicTime now) {
        table.setPeers(mesh.connectedPeers());
    }

    @Override
    public void onDisconnected(Peer peer, MonotonicTime now) {
        table.setPeers(mesh.connectedPeers());
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
