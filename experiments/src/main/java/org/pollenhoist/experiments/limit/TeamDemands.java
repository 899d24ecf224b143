package org.pollenhoist.experiments.limit;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.limit.TeamLimit;

/** The demand of five teams, two of them large. */
final class TeamDemands {

    static final TeamName GREEDY = TeamName.of("team0");

    private static final int TEAMS = 5;
    private static final int LARGE_TEAMS = 2;
    private static final double LARGE_RATE = 20_000;
    private static final double SMALL_RATE = 2_000;
    private static final double BURST_SECONDS = 10;
    private static final double USUAL_PART = 0.8;
    private static final double LOW_PART = 0.08;
    private static final double MOVE_SECONDS = 60;
    private static final double RISE_SECONDS = 120;
    private static final double WAVE_SECONDS = 600;
    private static final double GREEDY_PART = 5;
    private static final double EXHAUSTING_PART = 1.6;

    private TeamDemands() {}

    static Map<TeamName, TeamLimit> limits() {
        Map<TeamName, TeamLimit> limits = new TreeMap<>();
        for (int team = 0; team < TEAMS; team++) {
            double rate = rate(team);
            limits.put(name(team), new TeamLimit(rate, rate * BURST_SECONDS));
        }
        return limits;
    }

    private static TeamName name(int team) {
        return TeamName.of("team" + team);
    }

    private static double rate(int team) {
        return team < LARGE_TEAMS ? LARGE_RATE : SMALL_RATE;
    }

    /** Steady demand: one large team on one VM, one on one failure domain, the others everywhere. */
    static Map<TeamName, Workload.Demand> steady(FleetShape shape) {
        Map<TeamName, Workload.Demand> demands = everywhere(shape);
        demands.put(name(0), demand(0, USUAL_PART, (seconds, random) -> 0));
        demands.put(name(1), demand(1, USUAL_PART, (seconds, random) -> inDomain(shape, 1, random)));
        demands.put(name(2), demand(2, USUAL_PART, (seconds, random) -> shape.vms() - 1));
        return demands;
    }

    static Map<TeamName, Workload.Demand> everywhere(FleetShape shape) {
        Map<TeamName, Workload.Demand> demands = new TreeMap<>();
        for (int team = 0; team < TEAMS; team++) {
            demands.put(name(team), demand(team, USUAL_PART, (seconds, random) -> random.nextInt(shape.vms())));
        }
        return demands;
    }

    /** Demand that moves to another VM every minute and rises and falls tenfold within two minutes. */
    static Map<TeamName, Workload.Demand> moving(FleetShape shape) {
        Map<TeamName, Workload.Demand> demands = new TreeMap<>();
        for (int team = 0; team < TEAMS; team++) {
            int number = team;
            demands.put(name(team), new Workload.Demand() {
                @Override
                public double tokensPerSecond(double seconds) {
                    return rate(number) * wave(seconds + number * RISE_SECONDS);
                }

                @Override
                public int vm(double seconds, Random random) {
                    int move = (int) (seconds / MOVE_SECONDS) + number;
                    int hot = move * (number + 1) % shape.vms();
                    return random.nextInt(10) == 0 ? random.nextInt(shape.vms()) : hot;
                }
            });
        }
        return demands;
    }

    private static double wave(double seconds) {
        double phase = seconds % WAVE_SECONDS;
        double risen = Math.min(1, phase / RISE_SECONDS);
        double fallen = Math.max(0, Math.min(1, (phase - WAVE_SECONDS / 2) / RISE_SECONDS));
        return LOW_PART + (USUAL_PART - LOW_PART) * (risen - fallen);
    }

    static Map<TeamName, Workload.Demand> greedy(FleetShape shape) {
        Map<TeamName, Workload.Demand> demands = everywhere(shape);
        demands.put(GREEDY, demand(0, GREEDY_PART, (seconds, random) -> random.nextInt(shape.vms())));
        return demands;
    }

    /** More demand than the limits allow, on VMs that change, so that every excess shows. */
    static Map<TeamName, Workload.Demand> exhausting(FleetShape shape) {
        Map<TeamName, Workload.Demand> demands = new TreeMap<>();
        for (int team = 0; team < TEAMS; team++) {
            int number = team;
            demands.put(
                    name(team),
                    demand(
                            team,
                            EXHAUSTING_PART,
                            (seconds, random) -> random.nextBoolean()
                                    ? random.nextInt(shape.vms())
                                    : ((int) (seconds / MOVE_SECONDS) + number) % shape.vms()));
        }
        return demands;
    }

    /** Nothing at first, then demand within the limits on the first VM, then a flood on all VMs. */
    static Map<TeamName, Workload.Demand> flood(FleetShape shape, double hotVmBegin, double floodBegin) {
        Map<TeamName, Workload.Demand> demands = new TreeMap<>();
        for (int team = 0; team < TEAMS; team++) {
            int number = team;
            demands.put(name(team), new Workload.Demand() {
                @Override
                public double tokensPerSecond(double seconds) {
                    double part = seconds < hotVmBegin ? 0 : seconds < floodBegin ? USUAL_PART : GREEDY_PART;
                    return rate(number) * part;
                }

                @Override
                public int vm(double seconds, Random random) {
                    return seconds < floodBegin ? 0 : random.nextInt(shape.vms());
                }
            });
        }
        return demands;
    }

    private static int inDomain(FleetShape shape, int domain, Random random) {
        while (true) {
            int vm = random.nextInt(shape.vms());
            if (shape.domainOfVm().get(vm) == domain % shape.domains()) {
                return vm;
            }
        }
    }

    private interface Placement {
        int vm(double seconds, Random random);
    }

    private static Workload.Demand demand(int team, double part, Placement placement) {
        return new Workload.Demand() {
            @Override
            public double tokensPerSecond(double seconds) {
                return rate(team) * part;
            }

            @Override
            public int vm(double seconds, Random random) {
                return placement.vm(seconds, random);
            }
        };
    }
}
