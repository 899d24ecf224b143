package org.pollenhoist.serving.placement;

import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.pollenhoist.serving.catalog.Engine;

/**
 * Estimates the value of a copy of a model: the work, in engines kept busy, that would be lost without the copy.
 *
 * <p>The value has three components. Work beyond the capacity of the copies is lost. The remaining work is balanced
 * better the more copies there are; this makes the number of copies grow with the square root of the work and leaves
 * headroom for rising demand. A model without a copy loses all its requests until a load completes.
 */
final class CopyValue {

    /** Maximum work of one copy, in engines. Less than 1 because its engine serves other models as well. */
    private static final double MAXIMUM_WORK_PER_COPY = 0.8;

    /** Exponent of the saturation curve: the greater, the more abruptly losses begin near the capacity limit. */
    private static final double SATURATION_EXPONENT = 2;

    /** Fraction of the capacity of its copies above which a model needs another copy. */
    private static final double OVERLOAD_UTILIZATION = 0.5;

    /** Value of balancing a unit of work over more copies, relative to a unit of work that would otherwise be lost. */
    private static final double IMBALANCE_WEIGHT = 0.2;

    /** Factor on the imbalance cost that a first copy avoids, compared with a further copy. */
    private static final double FIRST_COPY_IMBALANCE_FACTOR = 2;

    /** Work, in engines, assumed for each model in addition to its demand, so that unused models keep a copy. */
    private static final double MINIMUM_WORK = 0.03;

    /** Additional value, in engines, of the first copy of a model for which requests are queued. */
    private static final double REQUESTED_MODEL_BONUS = 0.3;

    /** Probability that the demand of the busiest model shifts to a given model that is in use. */
    private static final double SHIFT_PROBABILITY_ACTIVE = 0.5;

    /** The same for a model that is not in use and has adapters. */
    private static final double SHIFT_PROBABILITY_WITH_ADAPTERS = 0.4;

    /** The same for any other model. */
    private static final double SHIFT_PROBABILITY_OTHER = 0.02;

    /** Fraction of the busiest model's demand above which a model counts as in use. */
    private static final double ACTIVE_FRACTION = 0.1;

    /** Minimum demand assumed for the busiest model, as a fraction of the work of all engines. */
    private static final double MINIMUM_BUSIEST_FRACTION = 0.5;

    private final Engine engine;
    private final Map<String, Double> workByModel;
    private final ToDoubleFunction<String> workPerToken;
    private final double busiestTokens;

    /**
     * Creates an estimate for the present demand.
     *
     * @param engine the properties common to all engines
     * @param workByModel the demand for each model, as the number of engines that it would keep busy
     * @param workPerToken the time for which a token of a model keeps an engine busy, in any unit
     * @param engines the number of engines
     */
    CopyValue(Engine engine, Map<String, Double> workByModel, ToDoubleFunction<String> workPerToken, int engines) {
        this.engine = engine;
        this.workByModel = Map.copyOf(workByModel);
        this.workPerToken = workPerToken;
        double busiestDemand = workByModel.entrySet().stream()
                .mapToDouble(entry -> entry.getValue() / workPerToken.applyAsDouble(entry.getKey()))
                .max()
                .orElse(0);
        double maximumWorkPerToken = engine.models().keySet().stream()
                .mapToDouble(workPerToken)
                .max()
                .orElse(1);
        this.busiestTokens = Math.max(busiestDemand, MINIMUM_BUSIEST_FRACTION * engines / maximumWorkPerToken);
    }

    double work(String model) {
        return workByModel.getOrDefault(model, 0.0);
    }

    /** Returns the value of one more copy of a model that has the given number of copies. */
    double ofNextCopy(String model, int copies, boolean isRequested) {
        if (copies == 0) {
            return MINIMUM_WORK
                    + work(model)
                    + (isRequested ? REQUESTED_MODEL_BONUS : 0)
                    + FIRST_COPY_IMBALANCE_FACTOR * imbalanceCost(model, 1);
        }
        return lostWork(model, copies) - lostWork(model, copies + 1);
    }

    /** Returns the value of the copy that was added last to the given number of copies. */
    double ofLastCopy(String model, int copies) {
        return ofNextCopy(model, copies - 1, false);
    }

    /** Work that is lost or delayed with so many copies. Rises smoothly from none to all work beyond their capacity. */
    private double lostWork(String model, int copies) {
        double load = work(model) / (copies * MAXIMUM_WORK_PER_COPY);
        double servedFraction = 1 / Math.pow(1 + Math.pow(load, SATURATION_EXPONENT), 1 / SATURATION_EXPONENT);
        return work(model) * (1 - servedFraction) + imbalanceCost(model, copies);
    }

    private double imbalanceCost(String model, int copies) {
        return IMBALANCE_WEIGHT * (work(model) + expectedShift(model)) / copies;
    }

    /** Expected work that shifts from the busiest model to this one soon, in addition to its present work. */
    private double expectedShift(String model) {
        double tokens = work(model) / workPerToken.applyAsDouble(model);
        double probability = SHIFT_PROBABILITY_OTHER;
        if (tokens > busiestTokens * ACTIVE_FRACTION) {
            probability = SHIFT_PROBABILITY_ACTIVE;
        } else if (engine.models().containsKey(model)
                && engine.models().get(model).adapters() > 0) {
            probability = SHIFT_PROBABILITY_WITH_ADAPTERS;
        }
        return probability * Math.max(0, busiestTokens - tokens) * workPerToken.applyAsDouble(model);
    }

    /** Tells whether a model has more work than its copies are meant to serve. */
    boolean isOverloaded(String model, int copies) {
        return work(model) > OVERLOAD_UTILIZATION * MAXIMUM_WORK_PER_COPY * copies;
    }
}
