package org.pollenhoist.limit;

import java.time.Duration;
import java.util.List;
import org.pollenhoist.common.TeamName;

/** What VMs tell each other about shares. Every message may be lost, late or doubled without harm to the limit. */
public sealed interface ShareMessage {

    /**
     * Asks for tokens, or for a loan of parts, or for the extension of a loan.
     *
     * @param team the team
     * @param borrowerIncarnation the asking process
     * @param request number of the question, unique within the asking process
     * @param wantedRateParts further parts of the rate
     * @param wantedBurstParts further parts of the burst
     * @param wantedTokens tokens
     * @param isUrgent whether a request waits for the tokens
     */
    record Request(
            TeamName team,
            long borrowerIncarnation,
            long request,
            long wantedRateParts,
            long wantedBurstParts,
            double wantedTokens,
            boolean isUrgent)
            implements ShareMessage {}

    /**
     * Answers a request. The sender has debited everything in it before sending.
     *
     * @param team the team
     * @param borrowerIncarnation the process that asked
     * @param request the question
     * @param lenderIncarnation the sending process
     * @param sequence grows with every answer of the sender for this team
     * @param loanSequence the answer that last changed the loan
     * @param lentRateParts all parts of the rate now lent to the borrower, also earlier ones
     * @param lentBurstParts all parts of the burst now lent to the borrower, also earlier ones
     * @param duration how long the loan lasts, counted by the borrower from the sending of its question
     * @param tokens tokens that pass to the borrower for good, up to its capacity
     * @param levelTokens what the sender still holds
     */
    record Loan(
            TeamName team,
            long borrowerIncarnation,
            long request,
            long lenderIncarnation,
            long sequence,
            long loanSequence,
            long lentRateParts,
            long lentBurstParts,
            Duration duration,
            double tokens,
            double levelTokens)
            implements ShareMessage {}

    /**
     * Ends a loan early. The sender has debited parts and tokens before sending.
     *
     * @param team the team
     * @param lenderIncarnation the process that lent
     * @param loanSequence the answer that last changed the loan as the sender knows it; any other voids this message
     * @param tokens tokens that go back, up to the lender's capacity
     */
    record Return(TeamName team, long lenderIncarnation, long loanSequence, double tokens) implements ShareMessage {}

    /**
     * What the sender holds and needs.
     *
     * @param teams one entry for each team that is worth telling
     */
    record Status(List<TeamStatus> teams) implements ShareMessage {

        /** Copies the entries. */
        public Status {
            teams = List.copyOf(teams);
        }
    }

    /**
     * What a VM holds and needs for one team.
     *
     * @param team the team
     * @param rateParts parts of the rate in use
     * @param burstParts parts of the burst in use
     * @param levelTokens tokens held
     * @param demandTokensPerSecond what its callers ask for
     */
    record TeamStatus(
            TeamName team, long rateParts, long burstParts, double levelTokens, double demandTokensPerSecond) {}
}
