package org.pollenhoist.limit;

import org.pollenhoist.common.TeamName;

/** Tokens that were taken for an admitted request, to be settled once with {@link ShareTable#settle}. */
public final class Reservation {

    private final TeamName team;
    private final double boundTokens;
    private final TokenBucket.Outstanding outstanding;

    Reservation(TeamName team, double boundTokens, TokenBucket.Outstanding outstanding) {
        this.team = team;
        this.boundTokens = boundTokens;
        this.outstanding = outstanding;
    }

    /**
     * Returns the team that pays.
     *
     * @return the team
     */
    public TeamName team() {
        return team;
    }

    /**
     * Returns the most that the request may use.
     *
     * @return tokens
     */
    public double boundTokens() {
        return boundTokens;
    }

    TokenBucket.Outstanding outstanding() {
        return outstanding;
    }
}
