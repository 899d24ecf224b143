package org.pollenhoist.experiments.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pollenhoist.serving.request.PromptSegment;

/** The callers of a day: what they ask for, when they come back, and what they got. Times in milliseconds. */
final class Callers implements SimulatedRequest.Ending {

    private static final long WINDOW = 2_000;
    private static final int SHARED_PARTS = 3;
    private static final double SIZE_SPREAD = 0.9;
    private static final int LARGEST_IN_MEANS = 4;

    /** What is counted for prompts of a length. */
    private static final int ASKED = 0;

    private static final int SERVED = 1;

    /** Prompt tokens that make as much work as a token of the output. */
    private static final double OUTPUT_WEIGHT = 10;

    /** Part of a request's worth that does not depend on its size. */
    private static final double FIXED_WEIGHT = 0.3;

    /** Requests from which a model that is never served counts as starved. */
    private static final int ASKED_OFTEN = 4;

    /** Part of a class with the longest prompts that is looked at by itself. */
    private static final double LARGEST_PART = 0.2;

    /** A caller waits no longer for its return than this part of the time it has left. */
    private static final int RETURN_PARTS = 3;

    private final FleetSimulation fleet;
    private final HeavyDay day;
    private final Random random;
    private final Map<String, Double> factors = new HashMap<>();
    private final TreeMap<Long, double[]> windows = new TreeMap<>();
    private final Map<String, double[]> classes = new TreeMap<>();
    private final Map<String, TreeMap<Long, int[]>> servedByLength = new TreeMap<>();
    private final Map<String, Integer> endings = new TreeMap<>();
    private final Map<String, Integer> askedByModel = new HashMap<>();
    private final Set<String> servedModels = new HashSet<>();
    private double returnedInVain;
    private long nextNumber;
    private long end;

    Callers(FleetSimulation fleet, HeavyDay day, Random random) {
        this.fleet = fleet;
        this.day = day;
        this.random = random;
    }

    void begin(long length) {
        end = length;
        day.classes().forEach(kind -> fleet.after(day.leadMilliseconds(), () -> arrive(kind)));
    }

    void burst(HeavyDay.Fault.Burst burst) {
        factors.put(burst.requestClass(), burst.factor());
        fleet.after(burst.milliseconds(), () -> factors.remove(burst.requestClass()));
    }

    private void arrive(RequestClass kind) {
        double perSecond = kind.perSecond() * factors.getOrDefault(kind.name(), 1.0);
        double pause = -Math.log(1 - random.nextDouble()) / perSecond * 1_000;
        fleet.after(Math.max(1, Math.round(pause)), () -> {
            ask(kind);
            arrive(kind);
        });
    }

    private void ask(RequestClass kind) {
        String model = kind.isBusy() ? busyModel(fleet.milliseconds()) : rareModel();
        int adapters = day.models().get(model).adapters();
        boolean hasAdapter = adapters > 0 && random.nextDouble() < kind.adapterPart();
        long own = size(kind.promptTokens());
        int shared = kind.sharedTokens();
        int group = random.nextInt(SHARED_PARTS);
        SimulatedRequest.Asked asked = new SimulatedRequest.Asked(
                kind,
                model,
                hasAdapter ? "a" + (1 + random.nextInt(adapters)) : "",
                List.of(new PromptSegment(kind.name() + group, shared)),
                own + shared,
                size(kind.outputTokens()),
                fleet.milliseconds(),
                true);
        askedByModel.merge(model, 1, Integer::sum);
        double owed = kind.worth() * weight(asked);
        windows.computeIfAbsent(fleet.milliseconds() / WINDOW, ignored -> new double[2])[1] += owed;
        classes.computeIfAbsent(kind.name(), ignored -> new double[2])[1] += owed;
        countOf(asked)[ASKED]++;
        send(asked);
    }

    /** What a request is worth against one of the mean size of its kind. */
    private static double weight(SimulatedRequest.Asked asked) {
        RequestClass kind = asked.kind();
        double size = asked.promptTokens() + OUTPUT_WEIGHT * asked.outputTokens();
        double meanSize = kind.promptTokens() + kind.sharedTokens() + OUTPUT_WEIGHT * kind.outputTokens();
        return Math.min(LARGEST_IN_MEANS, FIXED_WEIGHT + (1 - FIXED_WEIGHT) * size / meanSize);
    }

    private int[] countOf(SimulatedRequest.Asked asked) {
        return servedByLength
                .computeIfAbsent(asked.kind().name(), ignored -> new TreeMap<>())
                .computeIfAbsent(asked.promptTokens(), ignored -> new int[2]);
    }

    private void send(SimulatedRequest.Asked asked) {
        new SimulatedRequest(fleet, fleet.anyVm(), asked, ++nextNumber, this).start();
    }

    private long size(double mean) {
        double factor = Math.exp(random.nextGaussian() * SIZE_SPREAD - SIZE_SPREAD * SIZE_SPREAD / 2);
        return Math.max(1, Math.round(mean * Math.min(LARGEST_IN_MEANS, factor)));
    }

    /** The busy model of a request: while demand moves, a growing part of the requests goes to the next models. */
    private String busyModel(long now) {
        int shifts = 0;
        for (long shiftAt : day.shiftsAt()) {
            double moved = (now - shiftAt) / (double) day.shiftMilliseconds();
            if (random.nextDouble() < moved) {
                shifts++;
            }
        }
        double point = random.nextDouble();
        int rank = 0;
        while (rank < day.busyShares().size() - 1 && point >= day.busyShares().get(rank)) {
            point -= day.busyShares().get(rank);
            rank++;
        }
        return HeavyDay.modelName((shifts * day.shiftStep() + rank) % day.busyModels());
    }

    private String rareModel() {
        return HeavyDay.modelName(day.busyModels() + random.nextInt(day.models().size() - day.busyModels()));
    }

    @Override
    public void served(SimulatedRequest.Asked asked, boolean isOnTime, long at) {
        double worth = (isOnTime ? asked.kind().worth() : asked.kind().lateWorth()) * weight(asked);
        windows.get(asked.firstAskedAt() / WINDOW)[0] += worth;
        classes.get(asked.kind().name())[0] += worth;
        servedModels.add(asked.model());
        countOf(asked)[SERVED]++;
        count(isOnTime ? "on_time" : "late");
    }

    @Override
    public void refused(SimulatedRequest.Asked asked, Duration retryAfter, String reason) {
        count("refused " + reason);
        long left = asked.firstAskedAt() + asked.kind().deadlineMilliseconds() - fleet.milliseconds();
        if (!asked.isFirstTry()) {
            returnedInVain += asked.kind().worth() * weight(asked);
            return;
        }
        long pause = Math.min(retryAfter.toMillis(), left / RETURN_PARTS);
        fleet.after(Math.max(1, pause), () -> send(asked.again()));
    }

    @Override
    public void failed(SimulatedRequest.Asked asked, String reason) {
        count("failed " + reason);
    }

    private void count(String ending) {
        endings.merge(ending, 1, Integer::sum);
    }

    /** The part that was served of the longest prompts of each class, which make up the given part of it. */
    private Map<String, Double> servedOfLongest(double part) {
        Map<String, Double> served = new TreeMap<>();
        servedByLength.forEach((kind, byLength) -> {
            int all = byLength.values().stream().mapToInt(count -> count[ASKED]).sum();
            int[] longest = new int[2];
            for (int[] count : byLength.descendingMap().values()) {
                if (longest[ASKED] < all * part) {
                    longest[ASKED] += count[ASKED];
                    longest[SERVED] += count[SERVED];
                }
            }
            served.put(kind, longest[SERVED] / (double) longest[ASKED]);
        });
        return served;
    }

    private Set<String> neverServed() {
        Set<String> never = new TreeSet<>();
        askedByModel.forEach((model, count) -> {
            if (count >= ASKED_OFTEN && !servedModels.contains(model)) {
                never.add(model);
            }
        });
        return never;
    }

    DayResult result(List<Long> storeLoads) {
        double earned = classes.values().stream().mapToDouble(sums -> sums[0]).sum();
        double owed = classes.values().stream().mapToDouble(sums -> sums[1]).sum();
        // What is asked in the last seconds may still be on its way.
        long lastWindow = (end - 4_000) / WINDOW;
        List<Double> parts = new ArrayList<>();
        windows.headMap(lastWindow).values().forEach(sums -> parts.add(sums[0] / sums[1]));
        List<Double> sorted = new ArrayList<>(parts);
        sorted.sort(Comparator.naturalOrder());
        Map<String, Double> byClass = new TreeMap<>();
        classes.forEach((name, sums) -> byClass.put(name, sums[0] / sums[1]));
        return new DayResult(
                earned / owed,
                (sorted.get(0) + sorted.get(1)) / 2,
                byClass,
                servedOfLongest(1),
                servedOfLongest(LARGEST_PART),
                returnedInVain / owed,
                neverServed(),
                storeLoads,
                parts,
                endings);
    }
}
