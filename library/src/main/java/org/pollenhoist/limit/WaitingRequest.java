package org.pollenhoist.limit;

import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;

/** A request that waits for the answers of peers. Belongs to the table that made it. */
public final class WaitingRequest {

    private final TeamName team;
    private final double boundTokens;
    private final MonotonicTime deadline;
    private int rounds;
    private boolean isDecided;

    WaitingRequest(TeamName team, double boundTokens, MonotonicTime deadline) {
        this.team = team;
        this.boundTokens = boundTokens;
        this.deadline = deadline;
    }

    /**
     * Returns the team that pays.
     *
     * @return the team
     */
    public TeamName team() {
        return team;
    }

    double boundTokens() {
        return boundTokens;
    }

    MonotonicTime deadline() {
        return deadline;
    }

    int rounds() {
        return rounds;
    }

    void countRound() {
        rounds++;
    }

    boolean isDecided() {
        return isDecided;
    }

    void markDecided() {
        isDecided = true;
    }
}
