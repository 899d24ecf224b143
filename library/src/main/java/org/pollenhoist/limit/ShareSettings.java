package org.pollenhoist.limit;

import java.time.Duration;

/**
 * How shares move.
 *
 * @param loanDuration how long a loan lasts, counted by the borrower from the sending of its question
 * @param loanMargin how much longer the lender counts: more than two clocks can run apart in that time
 * @param patience how long a request may wait for peers
 * @param demandWindow time constant of the demand estimate
 * @param statusInterval how often a VM tells its peers what it holds
 */
public record ShareSettings(
        Duration loanDuration, Duration loanMargin, Duration patience, Duration demandWindow, Duration statusInterval) {

    /**
     * Returns the settings for everyday use.
     *
     * @return the settings
     */
    public static ShareSettings defaults() {
        return new ShareSettings(
                Duration.ofSeconds(30),
                Duration.ofMillis(250),
                Duration.ofMillis(60),
                Duration.ofSeconds(20),
                Duration.ofSeconds(1));
    }
}
