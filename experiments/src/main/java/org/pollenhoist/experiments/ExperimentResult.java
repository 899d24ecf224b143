package org.pollenhoist.experiments;

import java.time.Duration;
import java.util.List;

/**
 * What one run of an experiment has measured.
 *
 * @param experiment the experiment's name
 * @param seed the seed
 * @param length the length asked for
 * @param measures the measures, in the order in which they are to be read
 */
public record ExperimentResult(String experiment, long seed, Duration length, List<Measure> measures) {

    /** Copies the measures. */
    public ExperimentResult {
        measures = List.copyOf(measures);
    }

    /**
     * One measure under each variant.
     *
     * @param name what was measured, such as {@code attainment per accelerator}
     * @param unit its unit, such as {@code ms}
     * @param direction which values are better
     * @param readings the values, the product's own first, then the baselines
     */
    public record Measure(String name, String unit, Direction direction, List<Reading> readings) {

        /** Copies the readings. */
        public Measure {
            readings = List.copyOf(readings);
        }

        /**
         * Creates a measure.
         *
         * @param name what was measured
         * @param unit its unit
         * @param direction which values are better
         * @param readings the values, the product's own first, then the baselines
         * @return the measure
         */
        public static Measure of(String name, String unit, Direction direction, Reading... readings) {
            return new Measure(name, unit, direction, List.of(readings));
        }
    }

    /**
     * The value of a measure under one variant.
     *
     * @param variant the variant: {@code pollenhoist} or a baseline's name
     * @param value the value
     */
    public record Reading(String variant, double value) {}

    /** Which values of a measure are better. */
    public enum Direction {
        /** Lower values are better. */
        LOWER_IS_BETTER,
        /** Higher values are better. */
        HIGHER_IS_BETTER
    }
}
