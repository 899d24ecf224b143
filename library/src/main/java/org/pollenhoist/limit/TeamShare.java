package org.pollenhoist.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;
import org.pollenhoist.limit.LoanBook.Portion;

/** This process's share of one team's limit. Every method holds the monitor of this object. */
final class TeamShare {

    /** Part of the burst by which rounding may leave a level short; the level goes below zero by as much. */
    private static final double ROUNDING = 1e-8;

    private final TeamName team;
    private final ShareSettings settings;
    private final long incarnation;
    private final TokenBucket bucket;
    private final LoanBook book = new LoanBook();
    private final PeerView peers = new PeerView();
    private final DemandEstimate demand;
    private final Lender lender;
    private final Borrower borrower;
    private TeamLimit limit;
    private HomeShare home = HomeShare.none();
    private Portion active = Portion.NONE;
    private long nextChange = Long.MAX_VALUE;

    TeamShare(TeamName team, TeamLimit limit, ShareSettings settings, long incarnation, MonotonicTime now) {
        this.team = team;
        this.limit = limit;
        this.settings = settings;
        this.incarnation = incarnation;
        this.bucket = new TokenBucket(now.nanoseconds());
        this.demand = new DemandEstimate(settings.demandWindow().toNanos() / 1e9, now.nanoseconds());
        this.lender = new Lender(this);
        this.borrower = new Borrower(this);
    }

    synchronized void setLimit(TeamLimit newLimit, MonotonicTime now) {
        advance(now);
        limit = newLimit;
        resize(now.nanoseconds());
    }

    synchronized void setHome(HomeShare newHome, MonotonicTime now) {
        advance(now);
        home = newHome;
        resize(bucket.refilledAt());
    }

    synchronized void fillUntouched(long parts, MonotonicTime now) {
        advance(now);
        bucket.add(Parts.amount(parts, limit.burstTokens()));
    }

    /** Tells whether no loan that was given needs the parts. */
    synchronized boolean canGiveUp(long parts, MonotonicTime now) {
        advance(now);
        long lastGivenEnd =
                book.given().stream().mapToLong(LoanBook.Loan::endsAt).max().orElse(bucket.refilledAt());
        Portion free = book.free(home, bucket.refilledAt(), Math.max(lastGivenEnd, bucket.refilledAt()), incarnation);
        return free.covers(new Portion(parts, parts));
    }

    /** Returns the parts of the home share on which loans to peers rest. */
    synchronized long lentParts(MonotonicTime now) {
        advance(now);
        long rate = book.given().stream()
                .mapToLong(loan -> loan.portion().rateParts())
                .sum();
        long burst = book.given().stream()
                .mapToLong(loan -> loan.portion().burstParts())
                .sum();
        return Math.max(rate, burst);
    }

    synchronized void setPeers(Collection<VmName> names) {
        peers.setPeers(names);
    }

    synchronized Admission admit(double boundTokens, MonotonicTime now) {
        advance(now);
        demand.add(boundTokens, now.nanoseconds());
        return decide(new WaitingRequest(team, boundTokens, now.plus(settings.patience())), now);
    }

    synchronized Admission retry(WaitingRequest waiting, MonotonicTime now) {
        advance(now);
        return decide(waiting, now);
    }

    private Admission decide(WaitingRequest waiting, MonotonicTime now) {
        double bound = waiting.boundTokens();
        if (bound <= bucket.level() + ROUNDING * limit.burstTokens()) {
            waiting.markDecided();
            return new Admission.Admitted(new Reservation(team, bound, bucket.reserve(bound)));
        }
        if (limit.equals(TeamLimit.NONE)) {
            return refuse(waiting, Refusal.UNKNOWN_TEAM, Optional.empty());
        }
        if (bound > limit.burstTokens()) {
            return refuse(waiting, Refusal.LARGER_THAN_BURST, Optional.empty());
        }
        Optional<Admission.AskPeers> question = borrower.ask(waiting, now);
        return question.isPresent() ? question.get() : refuseForNow(waiting, now);
    }

    private Admission refuseForNow(WaitingRequest waiting, MonotonicTime now) {
        if (active.isEmpty()) {
            return refuse(waiting, Refusal.NO_SHARE, Optional.of(untilShareBegins(now)));
        }
        double missing = waiting.boundTokens() - bucket.level() - peers.level(now.nanoseconds(), 0);
        double seconds = Math.max(ShareTable.LEAST_RETRY_SECONDS, missing / limit.tokensPerSecond());
        return refuse(waiting, Refusal.LIMIT_REACHED, Optional.of(Duration.ofNanos((long) (seconds * 1e9))));
    }

    private Duration untilShareBegins(MonotonicTime now) {
        long change = home.nextChange(now.nanoseconds());
        boolean begins = change != Long.MAX_VALUE && home.activeParts(change) > 0;
        return begins ? Duration.ofNanos(change - now.nanoseconds()) : settings.loanDuration();
    }

    private static Admission refuse(WaitingRequest waiting, Refusal reason, Optional<Duration> retryAfter) {
        waiting.markDecided();
        return new Admission.Refused(reason, retryAfter);
    }

    synchronized double settle(Reservation reservation, double usedTokens, MonotonicTime now) {
        advance(now);
        double returned = bucket.settle(reservation.outstanding(), usedTokens);
        if (returned > 0) {
            demand.add(-returned, now.nanoseconds());
        }
        return returned;
    }

    /** A lender that runs short itself gets its loan back first, so that the answer meets the room that it needs. */
    synchronized List<Outgoing> onRequest(VmName from, ShareMessage.Request request, MonotonicTime now) {
        advance(now);
        List<Outgoing> answers = new ArrayList<>();
        borrower.giveBackTo(from, request).ifPresent(answers::add);
        resize(bucket.refilledAt());
        answers.add(new Outgoing(from, lender.answer(from, request, now)));
        resize(bucket.refilledAt());
        return answers;
    }

    synchronized void onLoan(VmName from, ShareMessage.Loan loan, MonotonicTime now) {
        advance(now);
        borrower.onLoan(from, loan, now);
    }

    synchronized void onReturn(VmName from, long borrowerIncarnation, ShareMessage.Return message, MonotonicTime now) {
        advance(now);
        if (message.lenderIncarnation() == incarnation && book.endGiven(borrowerIncarnation, message.loanSequence())) {
            resize(bucket.refilledAt());
            bucket.add(message.tokens());
        }
    }

    synchronized void onStatus(VmName from, ShareMessage.TeamStatus status, MonotonicTime now) {
        peers.onStatus(from, status, limit, now.nanoseconds());
    }

    synchronized List<Outgoing> tick(MonotonicTime now) {
        advance(now);
        return borrower.tick(now);
    }

    synchronized ShareMessage.TeamStatus status(MonotonicTime now) {
        advance(now);
        return new ShareMessage.TeamStatus(
                team, active.rateParts(), active.burstParts(), bucket.level(), demand.at(now.nanoseconds()));
    }

    /** Brings the level up to date through every change of the share on the way; a past time changes nothing. */
    private void advance(MonotonicTime now) {
        while (nextChange <= now.nanoseconds()) {
            long change = nextChange;
            bucket.advance(change);
            book.dropEnded(change);
            resize(change);
        }
        bucket.advance(now.nanoseconds());
    }

    /** Applies the parts that are in use at a time. */
    void resize(long time) {
        active = book.active(home, time);
        nextChange = Math.min(home.nextChange(time), book.nextChange(time));
        double rate = Parts.amount(Math.max(0, active.rateParts()), limit.tokensPerSecond());
        double capacity = Parts.amount(Math.max(0, active.burstParts()), limit.burstTokens());
        bucket.resize(rate, capacity);
    }

    TeamName team() {
        return team;
    }

    ShareSettings settings() {
        return settings;
    }

    long incarnation() {
        return incarnation;
    }

    TokenBucket bucket() {
        return bucket;
    }

    LoanBook book() {
        return book;
    }

    PeerView peers() {
        return peers;
    }

    DemandEstimate demand() {
        return demand;
    }

    TeamLimit limit() {
        return limit;
    }

    HomeShare home() {
        return home;
    }

    Portion active() {
        return active;
    }
}
