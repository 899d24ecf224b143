package org.pollenhoist.experiments.limit;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.HomeShare;
import org.pollenhoist.limit.Parts;
import org.pollenhoist.limit.Reservation;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.limit.TeamLimit;

/** A single counter of the whole fleet with perfect knowledge: what no real fleet can have. */
final class CentralCounter {

    private static final double ROUNDING_TOKENS = 1e-3;

    private final ShareTable table = ShareTable.empty(ShareSettings.defaults(), 1);

    CentralCounter(Map<TeamName, TeamLimit> limits) {
        MonotonicTime begin = new MonotonicTime(0);
        table.setLimits(limits, begin);
        MonotonicTime end = new MonotonicTime(Long.MAX_VALUE);
        table.setHome(new HomeShare(List.of(new HomeShare.Piece(Parts.WHOLE, begin, end))), begin);
    }

    boolean has(TeamName team, double tokens, long now) {
        return table.status(team, new MonotonicTime(now)).orElseThrow().levelTokens() >= tokens + ROUNDING_TOKENS;
    }

    Optional<Reservation> admit(TeamName team, double boundTokens, long now) {
        return table.admit(team, boundTokens, new MonotonicTime(now)) instanceof Admission.Admitted admitted
                ? Optional.of(admitted.reservation())
                : Optional.empty();
    }

    void settle(Reservation reservation, double usedTokens, long now) {
        table.settle(reservation, usedTokens, new MonotonicTime(now));
    }
}
