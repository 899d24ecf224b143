package org.pollenhoist.experiments.limit;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.limit.HomeLeaseSettings;
import org.pollenhoist.limit.ShareSettings;

/**
 * Runs a fleet of VMs under a workload and faults, and the baselines under the same workload.
 *
 * <p>Example: {@code LimitExperiment.of(Scenario.MOVING, FleetShape.of(9, 3)).run(1, Duration.ofMinutes(30))}.
 */
public final class LimitExperiment {

    /** Time in which the VMs start and even out their home shares before requests come. */
    private static final Duration WARM_UP = Duration.ofMinutes(8);

    private static final Duration OUTAGE_BEGIN = Duration.ofMinutes(10);
    private static final Duration OUTAGE = Duration.ofMinutes(10);
    private static final Duration KILL_IN_OUTAGE = Duration.ofMinutes(12);
    private static final Duration PAUSE_BEGIN = Duration.ofSeconds(100);
    private static final Duration FLOOD_AFTER_PAUSE = Duration.ofSeconds(400);
    private static final Duration HOT_VM_BEGIN = Duration.ofSeconds(150);
    private static final Duration FLOOD_WITH_KILLS = Duration.ofSeconds(200);
    private static final Duration BETWEEN_KILLS = Duration.ofSeconds(1);
    private static final Duration SHORT_ABSENCE = Duration.ofMillis(200);
    private static final int KILLS = 60;
    private static final Duration RESTART_TIME = Duration.ofSeconds(20);

    private final Scenario scenario;
    private final FleetShape shape;
    private final Mutant mutant;

    private LimitExperiment(Scenario scenario, FleetShape shape, Mutant mutant) {
        this.scenario = scenario;
        this.shape = shape;
        this.mutant = mutant;
    }

    /** What the fleet goes through. */
    public enum Scenario {
        /** Steady demand within the limits, some of it on one VM or one failure domain. */
        STEADY,
        /** Demand within the limits that moves between VMs and rises tenfold within minutes. */
        MOVING,
        /** Moving demand, the platform down for 10 minutes, and a VM that is killed and restarted meanwhile. */
        PLATFORM_OUTAGE,
        /** Demand of all teams within their limits, everywhere. */
        WITHOUT_GREEDY_TEAM,
        /** The same, but one team sends five times its rate. */
        GREEDY_TEAM,
        /** More demand than the limits allow while everything fails often. */
        FAULTS,
        /** All VMs but the first are paused past their leases; a flood of requests meets them when they wake. */
        PAUSES,
        /** Demand on the first VM, then a flood while the others are killed and restarted again and again. */
        KILLS,
        /** The same, but the others are stopped as planned and restarted. */
        STOPS
    }

    /**
     * Returns an experiment.
     *
     * @param scenario what the fleet goes through
     * @param shape its VMs
     * @return the experiment
     */
    public static LimitExperiment of(Scenario scenario, FleetShape shape) {
        return new LimitExperiment(scenario, shape, Mutant.NONE);
    }

    /**
     * Returns the experiment with a fault built in.
     *
     * @param fault the fault
     * @return the changed experiment
     */
    public LimitExperiment with(Mutant fault) {
        return new LimitExperiment(scenario, shape, fault);
    }

    /**
     * Runs the experiment over simulated time.
     *
     * @param seed seed of the workload and the faults
     * @param length simulated time with requests
     * @return what it gave
     */
    public LimitResult run(long seed, Duration length) {
        Duration warmUp = hasFaults() ? Duration.ZERO : WARM_UP;
        Duration end = warmUp.plus(length);
        Workload workload = Workload.draw(
                TeamDemands.limits(), demands(), (double) warmUp.toSeconds(), (double) end.toSeconds(), seed);
        FleetSimulation fleet =
                new FleetSimulation(shape, faults(), shareSettings(), leaseSettings(), mutant, workload, seed);
        if (scenario == Scenario.PLATFORM_OUTAGE) {
            scheduleOutage(fleet);
        }
        if (scenario == Scenario.PAUSES) {
            schedulePauses(fleet);
        }
        if (scenario == Scenario.KILLS) {
            scheduleEnds(fleet, SimulatedVm::kill);
        }
        if (scenario == Scenario.STOPS) {
            scheduleEnds(fleet, SimulatedVm::stop);
        }
        fleet.run(end);
        return result(seed, end, workload, fleet);
    }

    private LimitResult result(long seed, Duration end, Workload workload, FleetSimulation fleet) {
        Tally central = Baselines.central(workload);
        Tally equalSplit = Baselines.equalSplit(workload, shape.vms());
        double vmSeconds = (double) end.toSeconds() * shape.vms();
        return new LimitResult(
                scenario,
                seed,
                fleet.tally().requests(),
                fleet.tally().refused(),
                fleet.tally().wrongful(),
                fleet.wrongfulByReason(),
                central.refused(),
                equalSplit.refused(),
                equalSplit.wrongful(),
                fleet.tally().largestExcess(),
                fleet.messages() / vmSeconds,
                fleet.bytes() / vmSeconds,
                (double) fleet.platform().calls() / end.toSeconds(),
                fleet.tally().usedTokens());
    }

    private static void scheduleOutage(FleetSimulation fleet) {
        fleet.queue().at(OUTAGE_BEGIN.toNanos(), () -> fleet.platform().setDown(true));
        fleet.queue()
                .at(OUTAGE_BEGIN.plus(OUTAGE).toNanos(), () -> fleet.platform().setDown(false));
        fleet.queue().at(KILL_IN_OUTAGE.toNanos(), () -> {
            fleet.vm(1).kill();
            fleet.queue().after(RESTART_TIME.toNanos(), () -> fleet.start(1, 1));
        });
    }

    private void schedulePauses(FleetSimulation fleet) {
        for (int vm = 1; vm < shape.vms(); vm++) {
            int index = vm;
            fleet.queue().at(PAUSE_BEGIN.toNanos(), () -> fleet.vm(index).pause());
            fleet.queue().at(FLOOD_AFTER_PAUSE.toNanos(), () -> fleet.vm(index).wake());
        }
    }

    private void scheduleEnds(FleetSimulation fleet, Consumer<SimulatedVm> end) {
        for (int kill = 0; kill < KILLS; kill++) {
            int index = 1 + kill % (shape.vms() - 1);
            Duration time = FLOOD_WITH_KILLS.plus(BETWEEN_KILLS.multipliedBy(kill));
            fleet.queue().at(time.toNanos(), () -> {
                end.accept(fleet.vm(index));
                fleet.queue().after(SHORT_ABSENCE.toNanos(), () -> fleet.start(index, index));
            });
        }
    }

    private Map<TeamName, Workload.Demand> demands() {
        return switch (scenario) {
            case STEADY -> TeamDemands.steady(shape);
            case MOVING, PLATFORM_OUTAGE -> TeamDemands.moving(shape);
            case WITHOUT_GREEDY_TEAM -> TeamDemands.everywhere(shape);
            case GREEDY_TEAM -> TeamDemands.greedy(shape);
            case FAULTS -> TeamDemands.exhausting(shape);
            case PAUSES ->
                TeamDemands.flood(
                        shape, (double) FLOOD_AFTER_PAUSE.toSeconds(), (double) FLOOD_AFTER_PAUSE.toSeconds());
            case KILLS, STOPS ->
                TeamDemands.flood(shape, (double) HOT_VM_BEGIN.toSeconds(), (double) FLOOD_WITH_KILLS.toSeconds());
        };
    }

    private FaultPlan faults() {
        return scenario == Scenario.FAULTS ? FaultPlan.everything() : FaultPlan.none();
    }

    private boolean hasFaults() {
        return scenario == Scenario.FAULTS
                || scenario == Scenario.PAUSES
                || scenario == Scenario.KILLS
                || scenario == Scenario.STOPS;
    }

    private static ShareSettings shareSettings() {
        return ShareSettings.defaults();
    }

    /** Under faults the leases are short, so that many of them lapse within a run. */
    private HomeLeaseSettings leaseSettings() {
        if (!hasFaults()) {
            return HomeLeaseSettings.defaults();
        }
        return new HomeLeaseSettings(
                Duration.ofSeconds(60),
                Duration.ofSeconds(120),
                Duration.ofSeconds(12),
                Duration.ofSeconds(5),
                Duration.ofSeconds(24),
                Duration.ofSeconds(1),
                Duration.ofSeconds(35));
    }
}
