package org.pollenhoist.serving.request;

import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Team;
import org.pollenhoist.serving.limit.FleetRateLimiter;

/** The tokens of a team's limit that a request occupies until it ends without having run. */
final class TokenReservation {

    private final FleetRateLimiter limits;
    private final Optional<Team> team;
    private long tokens;

    /**
     * Creates a reservation of tokens that were already withdrawn.
     *
     * @param limits the teams' limits
     * @param team the team that the tokens were withdrawn from
     * @param tokens the number of tokens
     */
    TokenReservation(FleetRateLimiter limits, Optional<Team> team, long tokens) {
        this.limits = limits;
        this.team = team;
        this.tokens = tokens;
    }

    /** Returns the tokens to the team's limit, unless this was done before. */
    void refund(MonotonicTime now) {
        if (tokens > 0) {
            limits.refund(team.orElseThrow(), tokens, now);
            tokens = 0;
        }
    }
}
