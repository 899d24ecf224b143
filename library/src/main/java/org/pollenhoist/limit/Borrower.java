package org.pollenhoist.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.limit.LoanBook.Loan;
import org.pollenhoist.limit.LoanBook.Portion;
import org.pollenhoist.limit.PeerView.Candidate;

/** Decides whom to ask for tokens and parts, and when to give loans back. Runs under its team share's monitor. */
final class Borrower {

    /** Rounds of questions to which a waiting request is entitled. */
    private static final int ROUNDS = 3;

    /** Peers asked for rate in one step. */
    private static final int PEERS_ASKED_FOR_RATE = 4;

    /** Below this multiple of the demand, rate is asked for; up to {@link #WANTED_DEMAND}. */
    private static final double SCARCE_DEMAND = 1.1;

    private static final double WANTED_DEMAND = 1.4;

    /** Multiple of the demand that is wanted while the level is low, so that it recovers. */
    private static final double WANTED_AT_LOW_LEVEL = 1.8;

    /** Part of the capacity below which the level is low. */
    private static final double LOW_LEVEL = 0.3;

    /** A loan is given back where the rest is above this multiple; the distance to SCARCE_DEMAND is the hysteresis. */
    private static final double AMPLE_DEMAND = 2.0;

    /** Rate that a peer is expected to keep, as a multiple of its demand. */
    private static final double PEER_KEEPS = 1.25;

    /** Demand that a question also covers, in seconds, so that the next requests need not ask. */
    private static final double AHEAD_SECONDS = 0.25;

    /** Tokens asked for beyond what is missing, so that parts that were rounded down on the way still suffice. */
    private static final double SLACK_TOKENS = 1;

    /** A loan that was not extended is given back this long before it ends, so that its tokens are not lost. */
    private static final long LAST_CALL_NANOSECONDS = 2_000_000_000L;

    /** Difference of levels, as parts of capacity, from which tokens are evened out. */
    private static final double UNEVEN = 0.2;

    /** Demand that evening out covers at most, in seconds. */
    private static final double EVENED_SECONDS = 2;

    /** Rate below which a missing part is not worth a message, as a part of the team's rate. */
    private static final long LEAST_RATE_PARTS = Parts.WHOLE / 1000;

    private final TeamShare share;
    private final Map<Long, Question> questions = new HashMap<>();
    private final Set<Long> round = new HashSet<>();
    private long nextRequest = 1;
    private long roundEndsAt;

    Borrower(TeamShare share) {
        this.share = share;
    }

    private record Question(VmName peer, long sentAt, boolean isUrgent) {}

    Optional<Admission.AskPeers> ask(WaitingRequest waiting, MonotonicTime now) {
        long time = now.nanoseconds();
        boolean isRoundOpen = !round.isEmpty() && time < roundEndsAt;
        if (time >= waiting.deadline().nanoseconds()) {
            return Optional.empty();
        }
        if (isRoundOpen) {
            return Optional.of(new Admission.AskPeers(waiting, List.of(), decideAt(waiting)));
        }
        if (waiting.rounds() >= ROUNDS || !mayPeersHave(waiting, time)) {
            return Optional.empty();
        }
        waiting.countRound();
        List<Outgoing> messages = openRound(waiting, time);
        return messages.isEmpty()
                ? Optional.empty()
                : Optional.of(new Admission.AskPeers(waiting, messages, decideAt(waiting)));
    }

    private MonotonicTime decideAt(WaitingRequest waiting) {
        return new MonotonicTime(Math.min(roundEndsAt, waiting.deadline().nanoseconds()));
    }

    private boolean mayPeersHave(WaitingRequest waiting, long time) {
        double known =
                share.bucket().level() + share.peers().level(time, share.limit().burstTokens());
        return known >= waiting.boundTokens();
    }

    private List<Outgoing> openRound(WaitingRequest waiting, long time) {
        double bound = waiting.boundTokens();
        double missingCapacity = Math.max(
                0,
                bound
                        + SLACK_TOKENS
                        + share.bucket().probableReturns()
                        - share.bucket().capacity());
        double missing = bound + SLACK_TOKENS - share.bucket().level();
        double ahead = share.demand().at(time) * AHEAD_SECONDS;
        double room =
                share.bucket().capacity() + missingCapacity - share.bucket().level();
        double wanted = Math.max(missing, Math.min(missing + ahead, room));
        round.clear();
        roundEndsAt = time + share.settings().patience().toNanos() / ROUNDS;
        List<Outgoing> messages = new ArrayList<>();
        double remaining = wanted;
        double remainingCapacity = missingCapacity;
        for (Candidate candidate : share.peers().byLevel(time, unknownPeerTokens())) {
            if (remaining <= 0) {
                break;
            }
            double tokens = Math.min(remaining, candidate.amount());
            double capacity = Math.min(remainingCapacity, tokens);
            messages.add(question(candidate.peer(), 0, parts(capacity), tokens, true, time));
            remaining -= tokens;
            remainingCapacity -= capacity;
        }
        return messages;
    }

    private double unknownPeerTokens() {
        return share.limit().burstTokens() / (share.peers().size() + 1);
    }

    private long parts(double capacity) {
        return capacity <= 0 ? 0 : Parts.holding(capacity, share.limit().burstTokens()) + 1;
    }

    private Outgoing question(VmName peer, long rate, long burst, double tokens, boolean isUrgent, long time) {
        long request = nextRequest++;
        questions.put(request, new Question(peer, time, isUrgent));
        if (isUrgent) {
            round.add(request);
        }
        return new Outgoing(
                peer,
                new ShareMessage.Request(share.team(), share.incarnation(), request, rate, burst, tokens, isUrgent));
    }

    void onLoan(VmName from, ShareMessage.Loan loan, MonotonicTime now) {
        if (loan.borrowerIncarnation() != share.incarnation()) {
            return;
        }
        Question question = questions.remove(loan.request());
        round.remove(loan.request());
        if (question == null || !share.book().isNew(loan.lenderIncarnation(), loan.sequence())) {
            return;
        }
        long endsAt = question.sentAt() + loan.duration().toNanos();
        Portion total = new Portion(loan.lentRateParts(), loan.lentBurstParts());
        share.book().take(from, loan, total, endsAt);
        share.book().dropEnded(share.bucket().refilledAt());
        share.resize(share.bucket().refilledAt());
        share.bucket().add(loan.tokens());
        share.peers().onLevel(from, loan.levelTokens(), now.nanoseconds());
    }

    List<Outgoing> tick(MonotonicTime now) {
        long time = share.bucket().refilledAt();
        long oldest = time - share.settings().loanDuration().toNanos();
        questions.values().removeIf(question -> question.sentAt() < oldest);
        List<Outgoing> messages = new ArrayList<>();
        tendLoans(messages, time);
        askForRate(messages, time);
        askForTokens(messages, time);
        askForRoom(messages, time);
        return messages;
    }

    /** Evens out levels before a request has to wait, and before a full peer's refill is lost. */
    private void askForTokens(List<Outgoing> messages, long time) {
        double capacity = share.bucket().capacity();
        List<Candidate> fullest = share.peers().byFullness(time);
        if (capacity <= 0 || fullest.isEmpty() || share.demand().at(time) <= 0) {
            return;
        }
        Candidate donor = fullest.get(0);
        double difference = donor.amount() - share.bucket().level() / capacity;
        if (difference < UNEVEN) {
            return;
        }
        double smaller = Math.min(capacity, share.peers().capacity(donor.peer()));
        double soon = share.demand().at(time) * EVENED_SECONDS;
        double wanted = Math.min(soon, Math.min(share.bucket().spareRoom(), smaller * difference / 2));
        if (wanted > SLACK_TOKENS) {
            messages.add(question(donor.peer(), 0, 0, wanted, false, time));
        }
    }

    /** Gets room for what running requests will give back, before the level reaches the capacity. */
    private void askForRoom(List<Outgoing> messages, long time) {
        double room = share.bucket().capacity() - share.bucket().level();
        double missing = share.bucket().probableReturns() - room;
        for (Candidate lender : share.peers().byRoom(time)) {
            if (missing <= SLACK_TOKENS) {
                return;
            }
            double asked = Math.min(missing, lender.amount());
            messages.add(question(lender.peer(), 0, parts(asked), 0, false, time));
            missing -= asked;
        }
    }

    private void tendLoans(List<Outgoing> messages, long time) {
        double demand = share.demand().at(time);
        long half = share.settings().loanDuration().toNanos() / 2;
        for (Loan loan : List.copyOf(share.book().taken())) {
            boolean endsNow = loan.endsAt() - time < LAST_CALL_NANOSECONDS;
            if ((endsNow || isDispensable(loan, demand)) && isFree(loan, time)) {
                messages.add(giveBack(loan));
            } else if (loan.endsAt() - time < half) {
                messages.add(question(loan.peer(), 0, 0, 0, false, time));
            }
        }
    }

    /** Returns the loan of a lender in which a request waits for room that it has lent. */
    Optional<Outgoing> giveBackTo(VmName lender, ShareMessage.Request request) {
        if (!request.isUrgent() || request.wantedBurstParts() == 0) {
            return Optional.empty();
        }
        long time = share.bucket().refilledAt();
        return share.book().taken().stream()
                .filter(loan -> loan.peer().equals(lender) && loan.portion().burstParts() > 0)
                .filter(loan -> isFree(loan, time))
                .findFirst()
                .map(this::giveBack);
    }

    private boolean isDispensable(Loan loan, double demand) {
        double ampleRate = Parts.amount(
                share.active().rateParts() - loan.portion().rateParts(),
                share.limit().tokensPerSecond());
        boolean isRateAmple = loan.portion().rateParts() == 0 || ampleRate >= AMPLE_DEMAND * demand;
        boolean isCapacityUsed = share.bucket().level() > share.bucket().capacity() / 2 && demand > ampleRate / 2;
        double capacityLeft = share.active().burstParts() * share.bucket().spareFraction();
        return isRateAmple && !isCapacityUsed && loan.portion().burstParts() <= capacityLeft;
    }

    private boolean isFree(Loan loan, long time) {
        return share.book()
                .free(share.home(), time, loan.endsAt(), share.incarnation())
                .covers(loan.portion());
    }

    private Outgoing giveBack(Loan loan) {
        long activeBurst = Math.max(1, share.active().burstParts());
        double fraction = Math.min(1, (double) loan.portion().burstParts() / activeBurst);
        double tokens = Math.max(0, share.bucket().level()) * fraction;
        share.bucket().remove(tokens);
        share.book().taken().remove(loan);
        share.resize(share.bucket().refilledAt());
        return new Outgoing(
                loan.peer(), new ShareMessage.Return(share.team(), loan.peerIncarnation(), loan.sequence(), tokens));
    }

    private void askForRate(List<Outgoing> messages, long time) {
        double demand = share.demand().at(time);
        double rate = share.bucket().tokensPerSecond();
        boolean isLevelLow = share.bucket().level() < LOW_LEVEL * share.bucket().capacity();
        double wanted = isLevelLow ? WANTED_AT_LOW_LEVEL * demand : WANTED_DEMAND * demand;
        if (rate >= (isLevelLow ? WANTED_DEMAND : SCARCE_DEMAND) * demand) {
            return;
        }
        double missing = Math.min(wanted, share.limit().tokensPerSecond()) - rate;
        int asked = 0;
        for (Candidate candidate : share.peers().bySpareRate(PEER_KEEPS)) {
            long parts = Parts.holding(
                    Math.min(missing, candidate.amount()), share.limit().tokensPerSecond());
            if (parts < LEAST_RATE_PARTS || asked == PEERS_ASKED_FOR_RATE) {
                return;
            }
            messages.add(question(candidate.peer(), parts, 0, 0, false, time));
            missing -= candidate.amount();
            asked++;
        }
    }
}
