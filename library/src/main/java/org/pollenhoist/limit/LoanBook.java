package org.pollenhoist.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.VmName;

/**
 * The loans of one team that this process gave and took. Not thread-safe.
 *
 * <p>There is at most one loan in each direction between two processes. A loan that was given stays booked for longer
 * than its borrower may use it, so at every moment the parts in use over all processes sum up to at most the whole.
 */
final class LoanBook {

    private final List<Loan> given = new ArrayList<>();
    private final List<Loan> taken = new ArrayList<>();
    private final Map<Long, Long> lastSequenceByLender = new HashMap<>();

    /** Parts of one limit. */
    record Portion(long rateParts, long burstParts) {

        static final Portion NONE = new Portion(0, 0);

        Portion plus(Portion other) {
            return new Portion(rateParts + other.rateParts, burstParts + other.burstParts);
        }

        Portion minus(Portion other) {
            return new Portion(rateParts - other.rateParts, burstParts - other.burstParts);
        }

        Portion least(Portion other) {
            return new Portion(Math.min(rateParts, other.rateParts), Math.min(burstParts, other.burstParts));
        }

        boolean covers(Portion other) {
            return rateParts >= other.rateParts && burstParts >= other.burstParts;
        }

        boolean isEmpty() {
            return rateParts <= 0 && burstParts <= 0;
        }
    }

    /** A loan as one side knows it. */
    static final class Loan {
        private final VmName peer;
        private final long peerIncarnation;
        private Portion portion = Portion.NONE;
        private long endsAt = Long.MIN_VALUE;
        private long sequence;

        Loan(VmName peer, long peerIncarnation) {
            this.peer = peer;
            this.peerIncarnation = peerIncarnation;
        }

        VmName peer() {
            return peer;
        }

        long peerIncarnation() {
            return peerIncarnation;
        }

        Portion portion() {
            return portion;
        }

        long endsAt() {
            return endsAt;
        }

        long sequence() {
            return sequence;
        }
    }

    List<Loan> given() {
        return given;
    }

    List<Loan> taken() {
        return taken;
    }

    /** Returns what this process may use of its home share and loans at a time. */
    Portion active(HomeShare home, long now) {
        return owned(home, now).minus(sum(given, now));
    }

    /** Returns the first time after the given one at which a loan ends. */
    long nextChange(long now) {
        long next = Long.MAX_VALUE;
        for (Loan loan : given) {
            next = loan.endsAt > now ? Math.min(next, loan.endsAt) : next;
        }
        for (Loan loan : taken) {
            next = loan.endsAt > now ? Math.min(next, loan.endsAt) : next;
        }
        return next;
    }

    void dropEnded(long now) {
        given.removeIf(loan -> loan.endsAt <= now);
        taken.removeIf(loan -> loan.endsAt <= now);
    }

    /**
     * Returns the least that is free at any moment from now until a later time, counting a loan to the given process as
     * free, so that it may be extended to that time.
     */
    Portion free(HomeShare home, long now, long until, long exceptBorrower) {
        Portion least = freeAt(home, now, exceptBorrower);
        long time = now;
        while (true) {
            time = Math.min(home.nextChange(time), nextChange(time));
            if (time >= until) {
                return least;
            }
            least = least.least(freeAt(home, time, exceptBorrower));
        }
    }

    private Portion freeAt(HomeShare home, long time, long exceptBorrower) {
        Portion free = owned(home, time);
        for (Loan loan : given) {
            if (loan.endsAt > time && loan.peerIncarnation != exceptBorrower) {
                free = free.minus(loan.portion);
            }
        }
        return free;
    }

    private Portion owned(HomeShare home, long time) {
        long parts = home.activeParts(time);
        return new Portion(parts, parts).plus(sum(taken, time));
    }

    private static Portion sum(List<Loan> loans, long time) {
        Portion sum = Portion.NONE;
        for (Loan loan : loans) {
            sum = loan.endsAt > time ? sum.plus(loan.portion) : sum;
        }
        return sum;
    }

    /** Books parts that are lent: the whole loan now lasts at least until the given time. */
    Loan lend(VmName borrower, long borrowerIncarnation, Portion added, long endsAt, long sequence) {
        Loan loan = find(given, borrowerIncarnation).orElseGet(() -> start(given, borrower, borrowerIncarnation));
        loan.portion = loan.portion.plus(added);
        loan.endsAt = Math.max(loan.endsAt, endsAt);
        loan.sequence = sequence;
        return loan;
    }

    /** Tells whether an answer of a lender is newer than all that were taken in. */
    boolean isNew(long lenderIncarnation, long sequence) {
        return sequence > lastSequenceByLender.getOrDefault(lenderIncarnation, 0L);
    }

    /** Books a loan that arrived. The caller has checked that it is new. */
    void take(VmName lender, ShareMessage.Loan message, Portion total, long endsAt) {
        long lenderIncarnation = message.lenderIncarnation();
        lastSequenceByLender.put(lenderIncarnation, message.sequence());
        Optional<Loan> known = find(taken, lenderIncarnation);
        if (known.isEmpty() && total.isEmpty()) {
            return;
        }
        Loan loan = known.orElseGet(() -> start(taken, lender, lenderIncarnation));
        loan.portion = total;
        loan.endsAt = Math.max(loan.endsAt, endsAt);
        loan.sequence = message.loanSequence();
    }

    /** Ends a loan that was given where its last answer is the one that the borrower names. */
    boolean endGiven(long borrowerIncarnation, long sequence) {
        return given.removeIf(loan -> loan.peerIncarnation == borrowerIncarnation && loan.sequence == sequence);
    }

    Optional<Loan> findGiven(long borrowerIncarnation) {
        return find(given, borrowerIncarnation);
    }

    private static Optional<Loan> find(List<Loan> loans, long incarnation) {
        for (Loan loan : loans) {
            if (loan.peerIncarnation == incarnation) {
                return Optional.of(loan);
            }
        }
        return Optional.empty();
    }

    private static Loan start(List<Loan> loans, VmName peer, long incarnation) {
        Loan loan = new Loan(peer, incarnation);
        loans.add(loan);
        return loan;
    }
}
