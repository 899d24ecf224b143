package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.HomeShareKeeper;
import org.pollenhoist.limit.Outgoing;
import org.pollenhoist.limit.ShareMessage;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.limit.WaitingRequest;

/** One entry VM's process: the table of shares and its keeper, unchanged, with a clock, a mailbox and callers. */
final class SimulatedVm {

    private static final long KEEPER_DELAY = Duration.ofSeconds(1).toNanos();

    private final int index;
    private final FleetSimulation fleet;
    private final long incarnation;
    private final long clockOffset;
    private final ShareTable table;
    private final HomeShareKeeper keeper;
    private final List<Runnable> mailbox = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private boolean isAlive = true;
    private boolean isPaused;
    private long pausedSince;

    SimulatedVm(
            int index,
            FleetSimulation fleet,
            long incarnation,
            long clockOffset,
            ShareTable table,
            HomeShareKeeper keeper) {
        this.index = index;
        this.fleet = fleet;
        this.incarnation = incarnation;
        this.clockOffset = clockOffset;
        this.table = table;
        this.keeper = keeper;
    }

    private record Waiting(Workload.Arrival arrival, WaitingRequest request) {}

    int index() {
        return index;
    }

    long incarnation() {
        return incarnation;
    }

    ShareTable table() {
        return table;
    }

    MonotonicTime now() {
        return new MonotonicTime(fleet.queue().now() + clockOffset);
    }

    boolean isAlive() {
        return isAlive;
    }

    boolean isPausedLongerThan(long nanoseconds) {
        return isPaused && fleet.queue().now() - pausedSince > nanoseconds;
    }

    void kill() {
        isAlive = false;
        mailbox.clear();
        waiting.clear();
    }

    /** Ends the process in its planned stop, which gives the home share up. */
    void stop() {
        keeper.leave();
        kill();
    }

    void pause() {
        isPaused = true;
        pausedSince = fleet.queue().now();
    }

    void wake() {
        isPaused = false;
        List<Runnable> late = new ArrayList<>(mailbox);
        mailbox.clear();
        late.forEach(this::execute);
    }

    /** Runs an action of this process: now, on waking, or never. */
    void execute(Runnable action) {
        if (!isAlive) {
            return;
        }
        if (isPaused) {
            mailbox.add(action);
            return;
        }
        action.run();
    }

    /** A process that wakes serves callers before its keeper runs, as may happen with threads. */
    void keepHomeShare() {
        if (isPaused) {
            fleet.queue().after(KEEPER_DELAY, this::keepHomeShare);
            return;
        }
        execute(() -> fleet.queue().after(keeper.step().toNanos(), this::keepHomeShare));
    }

    void tickEvery(long interval) {
        execute(() -> {
            table.setPeers(fleet.connectedPeers(this));
            send(table.tick(now()));
            fleet.queue().after(interval, () -> tickEvery(interval));
        });
    }

    void onMessage(VmName from, long fromIncarnation, ShareMessage message) {
        send(table.onMessage(from, fromIncarnation, message, now()));
        if (message instanceof ShareMessage.Loan) {
            retryAll();
        }
    }

    private void send(List<Outgoing> messages) {
        messages.forEach(message -> fleet.send(this, message));
    }

    void onArrival(Workload.Arrival arrival) {
        conclude(arrival, table.admit(arrival.team(), arrival.boundTokens(), now()));
    }

    private void retryAll() {
        List<Waiting> present = new ArrayList<>(waiting);
        waiting.clear();
        present.forEach(request -> conclude(request.arrival(), table.retry(request.request(), now())));
    }

    private void conclude(Workload.Arrival arrival, Admission admission) {
        switch (admission) {
            case Admission.Admitted admitted -> run(arrival, admitted);
            case Admission.AskPeers question -> {
                waiting.add(new Waiting(arrival, question.waiting()));
                send(question.messages());
                long delay = question.decideAt().nanoseconds() - now().nanoseconds();
                fleet.queue().after(Math.max(0, delay), () -> execute(() -> retryOne(question.waiting())));
            }
            case Admission.Refused refused -> fleet.onRefused(this, arrival, refused);
        }
    }

    private void retryOne(WaitingRequest request) {
        Optional<Waiting> found = waiting.stream()
                .filter(candidate -> candidate.request() == request)
                .findFirst();
        if (found.isPresent()) {
            waiting.remove(found.get());
            conclude(found.get().arrival(), table.retry(request, now()));
        }
    }

    private void run(Workload.Arrival arrival, Admission.Admitted admitted) {
        Tally.Entry entry = fleet.tally()
                .admitted(arrival.team(), arrival.boundTokens(), fleet.queue().now());
        fleet.queue()
                .after(
                        arrival.runNanoseconds(),
                        () -> execute(() -> {
                            table.settle(admitted.reservation(), arrival.usedTokens(), now());
                            fleet.tally()
                                    .settled(
                                            arrival.team(),
                                            entry,
                                            arrival.usedTokens(),
                                            fleet.queue().now());
                        }));
    }
}
