package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.experiments.simulation.EventQueue;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.HomeLeaseSettings;
import org.pollenhoist.limit.HomeShareKeeper;
import org.pollenhoist.limit.Outgoing;
import org.pollenhoist.limit.Parts;
import org.pollenhoist.limit.ShareFrames;
import org.pollenhoist.limit.ShareMessage;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.vm.generated.Frame;

/** A fleet of VMs in one thread over the simulated time. */
final class FleetSimulation {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long NOTICED_BY_BALANCER = 2 * SECOND;
    private static final long NOTICED_BY_PEERS = 5 * SECOND;
    private static final long REFILLED_AT_RESTART = 3600 * SECOND;
    private static final long ONE_WAY = Duration.ofMillis(1).toNanos();
    private static final long LATEST = 120 * SECOND;
    private static final int MEMBERS_OF_OTHER_DOMAINS = 3;
    private static final int FRAME_LENGTH_BYTES = 4;

    private final FleetShape shape;
    private final FaultPlan faults;
    private final ShareSettings shareSettings;
    private final HomeLeaseSettings leaseSettings;
    private final Mutant mutant;
    private final Workload workload;
    private final Random random;
    private final EventQueue queue = new EventQueue();
    private final SimulatedPlatform platform;
    private final Tally tally;
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final Map<VmName, Integer> indexes = new HashMap<>();
    private final Set<Integer> cutDomains = new HashSet<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private long nextIncarnation = 1;
    private long messages;
    private long bytes;

    FleetSimulation(
            FleetShape shape,
            FaultPlan faults,
            ShareSettings shareSettings,
            HomeLeaseSettings leaseSettings,
            Mutant mutant,
            Workload workload,
            long seed) {
        this.shape = shape;
        this.faults = faults;
        this.shareSettings = shareSettings;
        this.leaseSettings = leaseSettings;
        this.mutant = mutant;
        this.workload = workload;
        this.random = new Random(seed);
        this.platform = new SimulatedPlatform(queue, random, faults);
        this.tally = new Tally(workload.limits());
        for (int vm = 0; vm < shape.vms(); vm++) {
            indexes.put(shape.name(vm), vm);
            vms.add(null);
        }
    }

    EventQueue queue() {
        return queue;
    }

    Tally tally() {
        return tally;
    }

    SimulatedPlatform platform() {
        return platform;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    Map<String, Long> wrongfulByReason() {
        return refusals;
    }

    /** Runs the workload and the faults. */
    void run(Duration length) {
        for (int vm = 0; vm < shape.vms(); vm++) {
            int index = vm;
            queue.at(random.nextLong(2 * SECOND), () -> start(index, index));
        }
        new FaultInjector(this, shape, faults, random).schedule(length.toNanos());
        workload.arrivals().forEach(arrival -> queue.at(arrival.time(), () -> dispatch(arrival)));
        queue.runUntil(length.toNanos());
    }

    /** Starts a process on a VM, listening at an address. */
    void start(int vm, long address) {
        long incarnation = nextIncarnation++;
        long offset = random.nextLong(1_000_000 * SECOND);
        ShareTable table = ShareTable.empty(shareSettings, incarnation);
        MonotonicTime now = new MonotonicTime(queue.now() + offset);
        HomeShareKeeper.Place place = new HomeShareKeeper.Place(
                shape.domain(vm),
                Parts.WHOLE / shape.domains(),
                shape.name(vm),
                incarnation,
                "10.0.0." + address + ":7000");
        long[] starting = {mutant == Mutant.REFILL_AT_RESTART ? REFILLED_AT_RESTART : 0};
        int domain = shape.domainOfVm().get(vm);
        HomeShareKeeper keeper = new HomeShareKeeper(
                platform.seenBy(() -> cutDomains.contains(domain)),
                table,
                mutated(leaseSettings),
                place,
                () -> new MonotonicTime(queue.now() + offset - starting[0]));
        table.setLimits(workload.limits(), now.plus(Duration.ofNanos(-starting[0])));
        if (mutant == Mutant.REFILL_AT_RESTART) {
            keeper.step();
            starting[0] = 0;
        }
        SimulatedVm started = new SimulatedVm(vm, this, incarnation, offset, table, keeper);
        vms.set(vm, started);
        started.keepHomeShare();
        started.tickEvery(shareSettings.statusInterval().toNanos());
    }

    private HomeLeaseSettings mutated(HomeLeaseSettings settings) {
        boolean ignoresLeases = mutant == Mutant.LEASE_NOT_CHECKED || mutant == Mutant.REFILL_AT_RESTART;
        boolean ignoresLoans = mutant == Mutant.NO_QUARANTINE || mutant == Mutant.REFILL_AT_RESTART;
        Duration margin = ignoresLeases ? Duration.ofDays(-10) : settings.margin();
        Duration quarantine = ignoresLoans ? Duration.ZERO : settings.quarantine();
        return new HomeLeaseSettings(
                settings.floatDuration(),
                settings.floorDuration(),
                settings.renewalInterval(),
                settings.retryInterval(),
                settings.floorRenewalInterval(),
                margin,
                quarantine);
    }

    SimulatedVm vm(int index) {
        return vms.get(index);
    }

    void cut(int domain, boolean isCut) {
        if (isCut) {
            cutDomains.add(domain);
        } else {
            cutDomains.remove(domain);
        }
    }

    private void dispatch(Workload.Arrival arrival) {
        for (int step = 0; step < shape.vms(); step++) {
            SimulatedVm vm = vms.get((arrival.vm() + step) % shape.vms());
            if (vm != null && vm.isAlive() && !vm.isPausedLongerThan(NOTICED_BY_BALANCER)) {
                vm.execute(() -> vm.onArrival(arrival));
                return;
            }
        }
    }

    List<VmName> connectedPeers(SimulatedVm vm) {
        List<VmName> connected = new ArrayList<>();
        for (int peer : shape.peers(vm.index(), MEMBERS_OF_OTHER_DOMAINS)) {
            SimulatedVm other = vms.get(peer);
            boolean isUp = other != null && other.isAlive() && !other.isPausedLongerThan(NOTICED_BY_PEERS);
            if (isUp && canReach(vm.index(), peer)) {
                connected.add(shape.name(peer));
            }
        }
        return connected;
    }

    private boolean canReach(int from, int to) {
        int fromDomain = shape.domainOfVm().get(from);
        int toDomain = shape.domainOfVm().get(to);
        return fromDomain == toDomain || !(cutDomains.contains(fromDomain) || cutDomains.contains(toDomain));
    }

    void onRefused(SimulatedVm vm, Workload.Arrival arrival, Admission.Refused refused) {
        if (tally.refused(arrival.team(), arrival.boundTokens(), queue.now())) {
            refusals.merge(refused.reason().text(), 1L, Long::sum);
        }
    }

    void send(SimulatedVm from, Outgoing outgoing) {
        Frame frame = ShareFrames.toFrame(outgoing.message());
        messages++;
        bytes += frame.getSerializedSize() + FRAME_LENGTH_BYTES;
        int to = indexes.get(outgoing.to());
        if (mutant == Mutant.LENDER_NOT_DEBITED && outgoing.message() instanceof ShareMessage.Loan loan) {
            ShareMessage undo =
                    new ShareMessage.Return(loan.team(), loan.lenderIncarnation(), loan.loanSequence(), loan.tokens());
            from.table().onMessage(outgoing.to(), loan.borrowerIncarnation(), undo, from.now());
        }
        if (!canReach(from.index(), to) || random.nextDouble() < faults.lostMessages()) {
            return;
        }
        deliver(from, to, frame);
        if (random.nextDouble() < faults.doubledMessages()) {
            deliver(from, to, frame);
        }
    }

    private void deliver(SimulatedVm from, int to, Frame frame) {
        boolean isLate = random.nextDouble() < faults.lateMessages();
        long delay = isLate ? random.nextLong(LATEST) : ONE_WAY / 2 + random.nextLong(ONE_WAY);
        ShareMessage message = mutated(ShareFrames.toMessage(frame).orElseThrow());
        VmName sender = shape.name(from.index());
        queue.after(delay, () -> {
            SimulatedVm receiver = vms.get(to);
            if (receiver != null) {
                receiver.execute(() -> receiver.onMessage(sender, from.incarnation(), message));
            }
        });
    }

    private ShareMessage mutated(ShareMessage message) {
        boolean isDoubled = mutant == Mutant.TOKENS_ADDED_TWICE;
        if (isDoubled && message instanceof ShareMessage.Loan loan) {
            return new ShareMessage.Loan(
                    loan.team(),
                    loan.borrowerIncarnation(),
                    loan.request(),
                    loan.lenderIncarnation(),
                    loan.sequence(),
                    loan.loanSequence(),
                    loan.lentRateParts(),
                    loan.lentBurstParts(),
                    loan.duration(),
                    2 * loan.tokens(),
                    loan.levelTokens());
        }
        return message;
    }
}
