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
 * The VMs of one failure domain that register bookings with each other while they die and start anew, and callers that
 * repeat each booking through any VM. Single-threaded, in simulated time; messages are late, and some are lost.
 */
final class BookingFleet {

    /** Mechanisms that can be left out, to show that the checks notice. */
    enum Mutant {
        NONE,
        NO_REGISTRATION,
        NO_VOUCHING,
        RUN_WITHOUT_ALL_ANSWERS
    }

    private static final int VMS = 6;
    private static final int BOOKINGS = 60;
    private static final int REPEATS = 4;
    private static final int LONGEST_DELAY_MILLISECONDS = 20;
    private static final double LOSS = 0.02;
    private static final long TIMEOUT_MILLISECONDS = 100;

    private final Random random;
    private final Mutant mutant;
    private final Map<VmName, EntryVm> processes = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final Map<Integer, Integer> runsByBooking = new HashMap<>();
    private long present;
    private long nextNumber;
    private long nextIncarnation = 1;
    private int unknownAnswers;

    private record Event(long time, long number, Runnable action) {}

    private final class EntryVm {
        private final VmName name;
        private final long incarnation = nextIncarnation++;
        private final OutcomeRegistry registry;
        private final IdempotencyTable table = new IdempotencyTable();
        private boolean isAlive = true;

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

    /** Runs the whole history with deaths that are so many milliseconds apart on average. */
    void run(long betweenDeaths) {
        for (int vm = 0; vm < VMS; vm++) {
            EntryVm first = new EntryVm(VmName.of("vm-" + vm));
            first.registry.started(true, vm == 0);
            processes.put(first.name, first);
        }
        processes.values().forEach(this::meetAll);
        processes.values().forEach(this::takeOver);
        long last = 120_000;
        for (int booking = 0; booking < BOOKINGS; booking++) {
            int number = booking;
            long first = 1 + (long) random.nextInt(60_000);
            for (int repeat = 0; repeat <= REPEATS; repeat++) {
                at(first + (long) random.nextInt(60_000) * Math.min(1, repeat), () -> book(number));
            }
        }
        for (long death = nextDeath(betweenDeaths); death < last; death += nextDeath(betweenDeaths)) {
            at(death, this::killOne);
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            present = event.time();
            event.action().run();
        }
    }

    int mostRunsOfOneBooking() {
        return runsByBooking.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    int bookingsRun() {
        return runsByBooking.size();
    }

    int unknownAnswers() {
        return unknownAnswers;
    }

    private long nextDeath(long between) {
        return 1 + (long) (-Math.log(1 - random.nextDouble()) * between);
    }

    private void book(int booking) {
        List<EntryVm> alive = alive();
        EntryVm process = alive.get(random.nextInt(alive.size()));
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
            unknownAnswers += verdict instanceof OutcomeInquiry.Verdict.Unknown ? 1 : 0;
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
                digest, alive().stream().map(member -> member.name).toList());
        List<RegistrarResponse> answers = new ArrayList<>();
        for (VmName registrar : registrars) {
            EntryVm asked = processes.get(registrar);
            deliver(asked, process, () -> {
                RegistrarResponse answer = asked.registry.register(digest, request, process.runner(ticket), now());
                deliver(process, asked, () -> answers.add(seen(answer)));
            });
        }
        after(TIMEOUT_MILLISECONDS, () -> {
            if (!process.isAlive) {
                return;
            }
            int asked = mutant == Mutant.RUN_WITHOUT_ALL_ANSWERS ? answers.size() : registrars.size();
            OutcomeInquiry.Verdict verdict = OutcomeInquiry.conclude(asked, answers);
            if (!(verdict instanceof OutcomeInquiry.Verdict.Run)) {
                registrars.forEach(registrar -> tell(process, registrar, ticket, RegistrarResponse.State.NEVER_SEEN));
            }
            then.accept(verdict);
        });
    }

    private RegistrarResponse seen(RegistrarResponse answer) {
        boolean vouches = answer.vouches() || mutant == Mutant.NO_VOUCHING;
        return new RegistrarResponse(answer.state(), answer.runner(), vouches);
    }

    /** The booking runs at the service, whether or not the VM lives on to see its end. */
    private void execute(EntryVm process, IdempotencyTicket ticket, int booking) {
        runsByBooking.merge(booking, 1, Integer::sum);
        boolean isCut = random.nextInt(4) == 0;
        after(50, () -> {
            if (process.isAlive) {
                process.table.fail(ticket, false, now());
                RegistrarResponse.State end =
                        isCut ? RegistrarResponse.State.OUTCOME_LOST : RegistrarResponse.State.FINISHED;
                alive().forEach(member -> tell(process, member.name, ticket, end));
            }
        });
    }

    private void tell(EntryVm sender, VmName receiver, IdempotencyTicket ticket, RegistrarResponse.State end) {
        EntryVm told = processes.get(receiver);
        deliver(told, sender, () -> told.registry.ended(ticket.key().digest(), sender.runner(ticket), end));
    }

    private void killOne() {
        List<EntryVm> alive = alive();
        if (alive.size() < 2) {
            return;
        }
        EntryVm dying = alive.get(random.nextInt(alive.size()));
        dying.isAlive = false;
        after(500 + random.nextInt(3_000), () -> {
            EntryVm fresh = new EntryVm(dying.name);
            processes.put(fresh.name, fresh);
            meetAll(fresh);
            takeOver(fresh);
        });
    }

    private void meetAll(EntryVm fresh) {
        for (EntryVm other : processes.values()) {
            other.registry.memberSeen(fresh.name, now());
            fresh.registry.memberSeen(other.name, now());
        }
    }

    /** Only after every registration that was sent without the new member has arrived. */
    private void takeOver(EntryVm fresh) {
        for (EntryVm other : alive()) {
            if (other == fresh) {
                continue;
            }
            after(
                    LONGEST_DELAY_MILLISECONDS + random.nextInt(LONGEST_DELAY_MILLISECONDS),
                    () -> fresh.registry.takeOver(
                            other.name, other.registry.records(), other.registry.standing(now())));
        }
    }

    private List<EntryVm> alive() {
        return processes.values().stream()
                .filter(process -> process.isAlive)
                .sorted(Comparator.comparing(process -> process.name))
                .toList();
    }

    private void deliver(EntryVm receiver, EntryVm sender, Runnable action) {
        boolean isLost = receiver != sender && random.nextDouble() < LOSS;
        long delay = receiver == sender ? 0 : random.nextInt(LONGEST_DELAY_MILLISECONDS);
        if (!isLost) {
            after(delay, () -> {
                if (receiver.isAlive) {
                    action.run();
                }
            });
        }
    }

    private void at(long time, Runnable action) {
        events.add(new Event(time, nextNumber++, action));
    }

    private void after(long milliseconds, Runnable action) {
        at(present + milliseconds, action);
    }

    private MonotonicTime now() {
        return MonotonicTime.of(Duration.ofMillis(present));
    }
}
