package org.pollenhoist.limit;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.limit.LoanBook.Loan;
import org.pollenhoist.limit.LoanBook.Portion;

/** Decides what a process gives when a peer asks. Called under the monitor of its team share. */
final class Lender {

    /** Rate that a lender keeps, as a multiple of its own demand. */
    private static final double KEPT_DEMAND = 1.25;

    /** Part of the level that is given to a peer in which no request waits yet. */
    private static final double GIVEN_AHEAD = 0.5;

    /** Divisors of the loan duration that are tried in turn where parts are not free for all of it. */
    private static final int[] DURATION_DIVISORS = {1, 3, 10};

    private final TeamShare share;
    private long nextSequence = 1;

    Lender(TeamShare share) {
        this.share = share;
    }

    /** What is lent and for how long. */
    private record Offer(Portion added, Duration duration) {

        private static final Offer NOTHING = new Offer(Portion.NONE, Duration.ZERO);

        boolean isSmallerThan(Offer other) {
            return added.rateParts() + added.burstParts() < other.added.rateParts() + other.added.burstParts();
        }
    }

    ShareMessage.Loan answer(VmName from, ShareMessage.Request request, MonotonicTime now) {
        double tokens = tokensFor(request);
        share.bucket().remove(tokens);
        Offer offer = offer(request, now);
        double accompanying = request.wantedRateParts() == 0 ? 0 : accompanyingTokens(offer.added());
        share.bucket().remove(accompanying);
        long sequence = nextSequence++;
        Optional<Loan> loan = book(from, request, offer, sequence, now);
        Portion total = loan.map(Loan::portion).orElse(Portion.NONE);
        return new ShareMessage.Loan(
                share.team(),
                request.borrowerIncarnation(),
                request.request(),
                share.incarnation(),
                sequence,
                loan.map(Loan::sequence).orElse(0L),
                total.rateParts(),
                total.burstParts(),
                offer.duration(),
                tokens + accompanying,
                Math.max(0, share.bucket().level()));
    }

    private double tokensFor(ShareMessage.Request request) {
        double available = share.bucket().level() * (request.isUrgent() ? 1 : GIVEN_AHEAD);
        return Math.max(0, Math.min(request.wantedTokens(), available));
    }

    /** Capacity that is lent takes its part of the level along, so that the lender loses nothing to its new cap. */
    private double accompanyingTokens(Portion added) {
        long activeBurst = share.active().burstParts();
        if (activeBurst <= 0 || added.burstParts() <= 0) {
            return 0;
        }
        double fraction = Math.min(1, (double) added.burstParts() / activeBurst);
        return Math.max(0, share.bucket().level()) * fraction;
    }

    private Offer offer(ShareMessage.Request request, MonotonicTime now) {
        Portion wanted = wanted(request, now);
        Optional<Loan> loan = share.book().findGiven(request.borrowerIncarnation());
        boolean isExtension = !request.isUrgent() && loan.isPresent() && canSpare(now);
        if (wanted.isEmpty() && !isExtension) {
            return Offer.NOTHING;
        }
        Offer best = Offer.NOTHING;
        for (int divisor : DURATION_DIVISORS) {
            Duration duration = share.settings().loanDuration().dividedBy(divisor);
            Optional<Offer> offer = offerFor(duration, wanted, loan, request, now);
            if (offer.isPresent() && offer.get().added().covers(wanted)) {
                return offer.get();
            }
            best = offer.filter(best::isSmallerThan).orElse(best);
        }
        return best;
    }

    /** Returns what is free for a duration, or nothing where an earlier loan could not last as long. */
    private Optional<Offer> offerFor(
            Duration duration, Portion wanted, Optional<Loan> loan, ShareMessage.Request request, MonotonicTime now) {
        long endsAt = endOf(duration, now);
        long checkedUntil = Math.max(endsAt, loan.map(Loan::endsAt).orElse(endsAt));
        Portion lent = loan.map(Loan::portion).orElse(Portion.NONE);
        Portion free = share.book()
                .free(share.home(), share.bucket().refilledAt(), checkedUntil, request.borrowerIncarnation())
                .minus(lent);
        return free.covers(Portion.NONE) ? Optional.of(new Offer(wanted.least(free), duration)) : Optional.empty();
    }

    private Optional<Loan> book(
            VmName from, ShareMessage.Request request, Offer offer, long sequence, MonotonicTime now) {
        if (offer.duration().isZero()) {
            return share.book().findGiven(request.borrowerIncarnation());
        }
        long endsAt = endOf(offer.duration(), now);
        return Optional.of(share.book().lend(from, request.borrowerIncarnation(), offer.added(), endsAt, sequence));
    }

    private long endOf(Duration duration, MonotonicTime now) {
        long begin = Math.max(now.nanoseconds(), share.bucket().refilledAt());
        return begin + duration.toNanos() + share.settings().loanMargin().toNanos();
    }

    /** Returns the part of the wish that this process is willing to lend. */
    private Portion wanted(ShareMessage.Request request, MonotonicTime now) {
        if (request.wantedRateParts() == 0) {
            long unusedParts = Parts.within(
                    request.isUrgent() ? share.bucket().room() : share.bucket().spareRoom(),
                    share.limit().burstTokens());
            return new Portion(0, Math.max(0, Math.min(request.wantedBurstParts(), unusedParts)));
        }
        long spare = share.active().rateParts() - keptRateParts(now);
        long rate = Math.max(0, Math.min(request.wantedRateParts(), spare));
        long spareBurst = (long)
                (Math.max(0, share.active().burstParts()) * share.bucket().spareFraction());
        long burst = Math.min(rate, spareBurst);
        return new Portion(rate, burst);
    }

    private boolean canSpare(MonotonicTime now) {
        return share.active().rateParts() >= keptRateParts(now);
    }

    private long keptRateParts(MonotonicTime now) {
        double kept = KEPT_DEMAND * share.demand().at(now.nanoseconds());
        return Parts.holding(kept, share.limit().tokensPerSecond());
    }
}
