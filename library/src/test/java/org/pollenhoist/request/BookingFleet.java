package org.pollenhoist.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;

/**
 * Simulates the VMs of one failure domain, which register bookings with each other while VMs crash and restart, and
 * callers that repeat each booking through random VMs. Single-threaded, in simulated time; messages are delayed and may
 * be lost.
 */
final class BookingFleet {

    /** Faults injected by disabling one mechanism, to show that the tests detect its absence. */
    enum Mutant {
        NONE,
        NO_REGISTRATION,
        NO_VOUCHING,
        RUN_WITHOUT_ALL_RESPONSES
    }

    private static final int VMS = 6;
    private static final int BOOKINGS = 60;
    private static final int REPEATS = 4;
    private static final int LONGEST_DELAY_MILLISECONDS = 20;
    private static final double LOSS_RATE = 0.02;
    private static final long TIMEOUT_MILLISECONDS = 100;

    private final Random random;
    private final Mutant mutant;
    private final Map<VmName, EntryVm> processes = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final Map<Integer, Integer> runsByBooking = new HashMap<>();
    private long currentTime;
    private long nextNumber;
    private long nextIncarnation = 1;
    private int unknownVerdicts;

    private record Event(long time, long number, Runnable action) {}

    private final class EntryVm {
        private final VmName name;
        private final long incarnation = nextIncarnation++;
        private final OutcomeRegistry registry;
        private final IdempotencyTable table = new IdempotencyTable();
        private boolean isRunning = true;

        EntryVm(VmName name) {
            this.name = name;
            this.registry = new OutcomeRegistry(name, now());
        }

        RegistrarResponse.Runner runner(IdempotencyTicket ticket) {
            return new RegistrarResponse.Runner(name, incarnation, ticket.number());
        }
    }

    BookingFleet(long seed, Mutant mutant) {
        this.random = new Random(seed);
        this.mutant = mutant;
    }

    /** Runs the simulation; crashes are the given number of milliseconds apart on average. */
    void run(long betweenCrashes) {
        for (int vm = 0; vm < VMS; vm++) {
            EntryVm first = new EntryVm(VmName.of("vm-" + vm));
            first.registry.started(true, vm == 0);
            processes.put(first.name, first);
        }
        processes.values().forEach(this::exchangeMembers);
        processes.values().forEach(this::takeOver);
        long last = 120_000;
        for (int booking = 0; booking < BOOKINGS; booking++) {
            int number = booking;
            long first = 1 + (long) random.nextInt(60_000);
            for (int repeat = 0; repeat <= REPEATS; repeat++) {
                at(first + (long) random.nextInt(60_000) * Math.min(1, repeat), () -> book(number));
            }
        }
        for (long crash = nextCrash(betweenCrashes); crash < last; crash += nextCrash(betweenCrashes)) {
            at(crash, this::crashOne);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            currentTime = event.time();
            event.action().run();
        }
    }

    int mostRunsOfOneBooking() {
        return runsByBooking.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    int bookingsRun() {
        return runsByBooking.size();
    }

    int unknownVerdicts() {
        return unknownVerdicts;
    }

    private long nextCrash(long meanInterval) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) * meanInterval);
    }

    private void book(int booking) {
        List<EntryVm> running = running();
        EntryVm process = running.get(random.nextInt(running.size()));
        IdempotencyKey key = new IdempotencyKey(TeamName.of("charters"), "booking-" + booking);
        RequestFingerprint request = RequestFingerprint.of("POST", "/bookings", new byte[] {(byte) booking});
        IdempotencyOutcome local = process.table.begin(key, request, now());
        if (!(local instanceof IdempotencyOutcome.Fresh fresh)) {
            return;
        }
        ask(process, fresh.ticket(), request, verdict -> {
            if (verdict instanceof OutcomeInquiry.Verdict.Run) {
                execute(process, fresh.ticket(), booking);
                return;
            }
            unknownVerdicts += verdict instanceof OutcomeInquiry.Verdict.Unknown ? 1 : 0;
            process.table.fail(fresh.ticket(), true, now());
        });
    }

    private void ask(
            EntryVm process,
            IdempotencyTicket ticket,
            RequestFingerprint request,
            Consumer<OutcomeInquiry.Verdict> then) {
        if (mutant == Mutant.NO_REGISTRATION) {
            then.accept(new OutcomeInquiry.Verdict.Run());
            return;
        }
        RequestFingerprint digest = ticket.key().digest();
        List<VmName> registrars = OutcomeInquiry.registrars(
                digest, running().stream().map(member -> member.name).toList());
        List<RegistrarResponse> responses = new ArrayList<>();
        for (VmName registrar : registrars) {
            EntryVm asked = processes.get(registrar);
            deliver(asked, process, () -> {
                RegistrarResponse response = asked.registry.register(digest, request, process.runner(ticket), now());
                deliver(process, asked, () -> responses.add(applyMutant(response)));
            });
        }
        after(TIMEOUT_MILLISECONDS, () -> {
            if (!process.isRunning) {
                return;
            }
            int asked = mutant == Mutant.RUN_WITHOUT_ALL_RESPONSES ? responses.size() : registrars.size();
            OutcomeInquiry.Verdict verdict = OutcomeInquiry.conclude(asked, responses);
            if (!(verdict instanceof OutcomeInquiry.Verdict.Run)) {
                registrars.forEach(
                        registrar -> reportEnd(process, registrar, ticket, RegistrarResponse.State.NEVER_SEEN));
            }
            then.accept(verdict);
        });
    }

    private RegistrarResponse applyMutant(RegistrarResponse response) {
        boolean vouches = response.vouches() || mutant == Mutant.NO_VOUCHING;
        return new RegistrarResponse(response.state(), response.runner(), vouches);
    }

    /** Executes the booking at the service, whether or not the VM is still running when it ends. */
    private void execute(EntryVm process, IdempotencyTicket ticket, int booking) {
        runsByBooking.merge(booking, 1, Integer::sum);
        boolean isOutcomeLost = random.nextInt(4) == 0;
        after(50, () -> {
            if (process.isRunning) {
                process.table.fail(ticket, false, now());
                RegistrarResponse.State end =
                        isOutcomeLost ? RegistrarResponse.State.OUTCOME_LOST : RegistrarResponse.State.FINISHED;
                running().forEach(member -> reportEnd(process, member.name, ticket, end));
            }
        });
    }

    private void reportEnd(EntryVm sender, VmName receiver, IdempotencyTicket ticket, RegistrarResponse.State end) {
        EntryVm registrar = processes.get(receiver);
        deliver(registrar, sender, () -> registrar.registry.ended(ticket.key().digest(), sender.runner(ticket), end));
    }

    private void crashOne() {
        List<EntryVm> running = running();
        if (running.size() < 2) {
            return;
        }
        EntryVm crashing = running.get(random.nextInt(running.size()));
        crashing.isRunning = false;
        after(500 + random.nextInt(3_000), () -> {
            EntryVm restarted = new EntryVm(crashing.name);
            processes.put(restarted.name, restarted);
            exchangeMembers(restarted);
            takeOver(restarted);
        });
    }

    private void exchangeMembers(EntryVm restarted) {
        for (EntryVm other : processes.values()) {
            other.registry.memberSeen(restarted.name, now());
            restarted.registry.memberSeen(other.name, now());
        }
    }

    /** Runs after all registrations that were sent without knowledge of the new member have arrived. */
    private void takeOver(EntryVm restarted) {
        for (EntryVm other : running()) {
            if (other == restarted) {
                continue;
            }
            after(
                    LONGEST_DELAY_MILLISECONDS + random.nextInt(LONGEST_DELAY_MILLISECONDS),
                    () -> restarted.registry.takeOver(
                            other.name, other.registry.records(), other.registry.standing(now())));
        }
    }

    private List<EntryVm> running() {
        return processes.values().stream()
                .filter(process -> process.isRunning)
                .sorted(Comparator.comparing(process -> process.name))
                .toList();
    }

    private void deliver(EntryVm receiver, EntryVm sender, Runnable action) {
        boolean isLost = receiver != sender && random.nextDouble() < LOSS_RATE;
        long delay = receiver == sender ? 0 : random.nextInt(LONGEST_DELAY_MILLISECONDS);
        if (!isLost) {
            after(delay, () -> {
                if (receiver.isRunning) {
                    action.run();
                }
            });
        }
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, nextNumber++, action));
    }

    private void after(long milliseconds, Runnable action) {
        at(currentTime + milliseconds, action);
    }

    private MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(currentTime));
    }
}
