package org.pollenhoist.entry;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;

/** Where requests meet their team's limit. */
public interface TokenGate {

    /**
     * Asks for tokens.
     *
     * @param team the team
     * @param tokens an upper bound of what the request will use
     * @param now the present time
     * @return the decision, within the time that a request may wait for it
     */
    CompletionStage<Decision> admit(TeamName team, double tokens, MonotonicTime now);

    /** Whether a request may run. */
    sealed interface Decision {

        /**
         * It may run.
         *
         * @param reservation what was set aside for it
         */
        record Admitted(Reservation reservation) implements Decision {}

        /**
         * It may not run.
         *
         * @param reason why
         * @param retryAfter when to come back
         */
        record Refused(String reason, Duration retryAfter) implements Decision {}
    }

    /** Tokens that are set aside for a request. */
    @FunctionalInterface
    interface Reservation {

        /**
         * Ends the reservation; only the first call counts.
         *
         * @param usedTokens what the request has really used
         * @param now the present time
         */
        void settle(double usedTokens, MonotonicTime now);
    }
}
