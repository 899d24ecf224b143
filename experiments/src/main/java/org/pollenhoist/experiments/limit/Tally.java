package org.pollenhoist.experiments.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.limit.Reservation;
import org.pollenhoist.limit.TeamLimit;

/** Counts what a contender decided and judges refusals by a central counter that saw its admissions. */
final class Tally {

    private final Map<TeamName, TeamLimit> limits;
    private final CentralCounter counter;
    private final Map<TeamName, List<Entry>> histories = new HashMap<>();
    private final Map<TeamName, TeamTally> teams = new HashMap<>();

    Tally(Map<TeamName, TeamLimit> limits) {
        this.limits = limits;
        this.counter = new CentralCounter(limits);
        limits.keySet().forEach(team -> {
            histories.put(team, new ArrayList<>());
            teams.put(team, new TeamTally());
        });
    }

    /** An admission whose tokens change once it is settled. */
    static final class Entry {
        private final long time;
        private double tokens;
        private final Optional<Reservation> central;

        private Entry(long time, double tokens, Optional<Reservation> central) {
            this.time = time;
            this.tokens = tokens;
            this.central = central;
        }
    }

    private static final class TeamTally {
        private long admitted;
        private long refused;
        private long wrongful;
        private double usedTokens;
    }

    Entry admitted(TeamName team, double boundTokens, long now) {
        teams.get(team).admitted++;
        Entry entry = new Entry(now, boundTokens, counter.admit(team, boundTokens, now));
        histories.get(team).add(entry);
        return entry;
    }

    void settled(TeamName team, Entry entry, double usedTokens, long now) {
        entry.tokens = usedTokens;
        teams.get(team).usedTokens += usedTokens;
        entry.central.ifPresent(reservation -> counter.settle(reservation, usedTokens, now));
    }

    boolean refused(TeamName team, double boundTokens, long now) {
        boolean isWrongful = counter.has(team, boundTokens, now);
        teams.get(team).refused++;
        teams.get(team).wrongful += isWrongful ? 1 : 0;
        return isWrongful;
    }

    long requests() {
        return teams.values().stream()
                .mapToLong(team -> team.admitted + team.refused)
                .sum();
    }

    long refused() {
        return teams.values().stream().mapToLong(team -> team.refused).sum();
    }

    long wrongful() {
        return teams.values().stream().mapToLong(team -> team.wrongful).sum();
    }

    Map<TeamName, Double> usedTokens() {
        Map<TeamName, Double> used = new HashMap<>();
        teams.forEach((team, tally) -> used.put(team, tally.usedTokens));
        return used;
    }

    /** Returns the worst excess over all teams and intervals, as a part of the team's burst. */
    double largestExcess() {
        double largest = Double.NEGATIVE_INFINITY;
        for (Map.Entry<TeamName, List<Entry>> history : histories.entrySet()) {
            TeamLimit limit = limits.get(history.getKey());
            List<IntervalBoundChecker.Admitted> admitted = history.getValue().stream()
                    .map(entry -> new IntervalBoundChecker.Admitted(entry.time, entry.tokens))
                    .toList();
            double excess = IntervalBoundChecker.largestExcess(admitted, limit);
            largest = Math.max(largest, excess / limit.burstTokens());
        }
        return largest;
    }
}
