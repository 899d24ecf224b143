package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.pollenhoist.experiments.limit.LimitExperiment.Scenario;
import org.pollenhoist.limit.Admission;
import org.pollenhoist.limit.HomeShare;
import org.pollenhoist.limit.Parts;
import org.pollenhoist.limit.ShareSettings;
import org.pollenhoist.limit.ShareTable;
import org.pollenhoist.limit.TeamLimit;

/** What a decision costs in real time, and what shares cost in messages against the size of the fleet (simulated). */
public final class TeamLimitCostExperiment implements Experiment {

    private static final TeamName TEAM = TeamName.of("team");
    private static final int WARM_UP_DECISIONS = 500_000;
    private static final int DECISIONS = 2_000_000;
    private static final int RUNNING = 64;
    private static final List<FleetShape> SHAPES =
            List.of(FleetShape.of(3, 3), FleetShape.of(9, 3), FleetShape.of(21, 1), FleetShape.of(42, 2));

    @Override
    public String name() {
        return "team-limits-cost";
    }

    @Override
    public String description() {
        return "Nanoseconds for each decision (real time); messages, bytes and platform calls by fleet size.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        List<Measure> measures = new ArrayList<>();
        progress.report("decisions");
        nanosecondsPerDecision(WARM_UP_DECISIONS);
        measures.add(
                measure("admission and settlement with 64 requests running", "ns", nanosecondsPerDecision(DECISIONS)));
        measures.add(measure("refusal of a team over its limit", "ns", nanosecondsPerRefusal()));
        for (FleetShape shape : SHAPES) {
            progress.report(shape.vms() + " VMs");
            LimitResult result = LimitExperiment.of(Scenario.MOVING, shape).run(seed, length);
            String suffix = ", " + shape.vms() + " VMs in " + shape.domains();
            measures.add(measure("messages per VM" + suffix, "1/s", result.messagesPerVmSecond()));
            measures.add(measure("bytes sent per VM" + suffix, "B/s", result.bytesPerVmSecond()));
            measures.add(measure("platform calls of the fleet" + suffix, "1/s", result.platformCallsPerSecond()));
            measures.add(measure("wrongful refusals" + suffix, "1", result.wrongfulPart()));
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static Measure measure(String what, String unit, double value) {
        return Measure.of(what, unit, Direction.LOWER_IS_BETTER, new Reading("pollenhoist", value));
    }

    private static double nanosecondsPerDecision(int decisions) {
        ShareTable table = table(1e12);
        Admission[] running = new Admission[RUNNING];
        long begin = System.nanoTime();
        for (int decision = 0; decision < decisions; decision++) {
            int slot = decision % RUNNING;
            MonotonicTime now = new MonotonicTime(decision * 1_000L);
            if (running[slot] instanceof Admission.Admitted admitted) {
                table.settle(admitted.reservation(), 1, now);
            }
            running[slot] = table.admit(TEAM, 2, now);
        }
        return (double) (System.nanoTime() - begin) / decisions;
    }

    private static double nanosecondsPerRefusal() {
        ShareTable table = table(1);
        long refused = 0;
        long begin = System.nanoTime();
        for (int decision = 0; decision < DECISIONS; decision++) {
            Admission admission = table.admit(TEAM, 1, new MonotonicTime(decision * 1_000L));
            refused += admission instanceof Admission.Refused ? 1 : 0;
        }
        return (double) (System.nanoTime() - begin) / Math.max(1, refused);
    }

    private static ShareTable table(double tokensPerSecond) {
        ShareTable table = ShareTable.empty(ShareSettings.defaults(), 1);
        MonotonicTime begin = new MonotonicTime(0);
        table.setLimits(Map.of(TEAM, new TeamLimit(tokensPerSecond, tokensPerSecond)), begin);
        HomeShare.Piece all = new HomeShare.Piece(Parts.WHOLE, begin, new MonotonicTime(Long.MAX_VALUE));
        table.setHome(new HomeShare(List.of(all)), begin);
        return table;
    }
}
