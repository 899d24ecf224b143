package org.pollenhoist.experiments;

import java.time.Duration;

/**
 * One measurement that gives the same result for the same seed, unless it says that it measures real time.
 *
 * <p>To add one, implement this interface and enter it in {@link Experiments#all()}.
 */
public interface Experiment {

    /**
     * Returns the name under which it is run, in lower case with hyphens.
     *
     * @return the name
     */
    String name();

    /**
     * Returns what it measures, in one sentence.
     *
     * @return the sentence
     */
    String description();

    /**
     * Runs it.
     *
     * @param seed the seed of all random choices
     * @param length how long the simulated or real load lasts
     * @param progress hears how far it has come
     * @return what was measured
     */
    ExperimentResult run(long seed, Duration length, Progress progress);

    /** Hears how far an experiment has come. */
    @FunctionalInterface
    interface Progress {

        /**
         * Tells of a step.
         *
         * @param step what is being done, in a few words
         */
        void report(String step);
    }
}
