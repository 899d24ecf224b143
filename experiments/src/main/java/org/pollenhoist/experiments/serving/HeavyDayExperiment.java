package org.pollenhoist.experiments.serving;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.pollenhoist.experiments.Experiment;
import org.pollenhoist.experiments.ExperimentResult;
import org.pollenhoist.experiments.ExperimentResult.Direction;
import org.pollenhoist.experiments.ExperimentResult.Measure;
import org.pollenhoist.experiments.ExperimentResult.Reading;
import org.slf4j.LoggerFactory;

/** What callers get on heavy days, against engines that hold every model and against a placement that never changes. */
public final class HeavyDayExperiment implements Experiment {

    /** Further seeds that are played for each seed that is asked for: single days differ by several hundredths. */
    private static final int DAYS = 8;

    /** Load at which more comes than engines read. */
    private static final double OVERLOAD = 2.5;

    @Override
    public String name() {
        return "heavy-day";
    }

    @Override
    public String description() {
        return "What callers get while demand moves faster than weights load and engines are lost, simulated.";
    }

    @Override
    public ExperimentResult run(long seed, Duration length, Progress progress) {
        ((Logger) LoggerFactory.getLogger("pollenhoist")).setLevel(Level.WARN);
        List<Measure> measures = new ArrayList<>();
        for (HeavyDay day : List.of(
                HeavyDay.slowStore(1, List.of()),
                HeavyDay.slowStore(1, HeavyDay.commonFaults()),
                HeavyDay.fastStore(1, List.of()),
                HeavyDay.fastStore(1, HeavyDay.commonFaults()),
                HeavyDay.longPrompts(1, List.of()),
                HeavyDay.longPrompts(OVERLOAD, HeavyDay.commonFaults()))) {
            String name = day.name() + (day.faults().isEmpty() ? ", calm" : ", with faults");
            progress.report(name);
            measures.addAll(measure(name, day, seed, length));
        }
        return new ExperimentResult(name(), seed, length, measures);
    }

    private static List<Measure> measure(String name, HeavyDay day, long seed, Duration length) {
        List<DayResult> own = play(day, seed, length);
        List<DayResult> unlimited = play(day.withAllModelsEverywhere(), seed, length);
        List<DayResult> fixed = play(day.withFixedPlacement(length), seed, length);
        return List.of(
                compare(
                        name + ", attainment",
                        Direction.HIGHER_IS_BETTER,
                        DayResult::attainment,
                        own,
                        unlimited,
                        fixed),
                compare(
                        name + ", worst windows",
                        Direction.HIGHER_IS_BETTER,
                        DayResult::worstWindows,
                        own,
                        unlimited,
                        fixed),
                compare(
                        name + ", refused and returned in vain",
                        Direction.LOWER_IS_BETTER,
                        DayResult::returnedInVain,
                        own,
                        unlimited,
                        fixed));
    }

    private static Measure compare(
            String name,
            Direction direction,
            ToDoubleFunction<DayResult> measure,
            List<DayResult> own,
            List<DayResult> unlimited,
            List<DayResult> fixed) {
        return Measure.of(
                name,
                "part of the worth",
                direction,
                new Reading("pollenhoist", mean(own, measure)),
                new Reading("every model on every engine", mean(unlimited, measure)),
                new Reading("placement fixed", mean(fixed, measure)));
    }

    private static List<DayResult> play(HeavyDay day, long seed, Duration length) {
        List<DayResult> results = new ArrayList<>();
        for (long offset = 0; offset < DAYS; offset++) {
            results.add(new FleetSimulation(day, seed + offset).play(length));
        }
        return results;
    }

    private static double mean(List<DayResult> results, ToDoubleFunction<DayResult> measure) {
        return results.stream().mapToDouble(measure).average().orElse(0);
    }
}
