package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.NavigableMap;
import org.pollenhoist.common.MonotonicTime;

/**
 * Decides how urgent an engine takes a request to be: engines admit and keep requests of a lower rank first.
 *
 * <p>Answers the load of patient and urgent kinds of requests that compete for the same engines under the same
 * priority. By their priority alone, an engine reads the prompts of both in the order of their arrival, so that
 * requests that may take many seconds delay those that are late after half a second. A patient request ranks behind
 * them while it has time, and as its priority says once it has waited for a part of that time, so that it is not
 * starved.
 */
public final class EngineRank {

    /** A request is patient if its latency objective is at least this multiple of the shortest one beside it. */
    private static final double PATIENT_FACTOR = 8;

    /** Fraction of its latency objective after which a patient request ranks as its priority says. */
    private static final double PATIENT_WAIT_FRACTION = 0.5;

    /** Number of ranks by which a patient request stands behind: more than priorities usually differ by. */
    private static final int PATIENT_STEP = 4;

    private EngineRank() {}

    /**
     * Returns the rank of a request.
     *
     * @param priority its priority, 0 for the highest
     * @param latencyObjective the time within which its first event should be sent
     * @param shortestObjectives the shortest latency objective of the service's routes, by priority
     * @param arrivedAt when it arrived
     * @param now the current time
     * @return the rank, 0 for the most urgent
     */
    public static int of(
            int priority,
            Duration latencyObjective,
            NavigableMap<Integer, Duration> shortestObjectives,
            MonotonicTime arrivedAt,
            MonotonicTime now) {
        boolean hasTime = now.since(arrivedAt).toMillis() < latencyObjective.toMillis() * PATIENT_WAIT_FRACTION;
        return hasTime && isPatient(latencyObjective, shortestObjectives) ? priority + PATIENT_STEP : priority;
    }

    private static boolean isPatient(Duration latencyObjective, NavigableMap<Integer, Duration> shortestObjectives) {
        return shortestObjectives.values().stream()
                .anyMatch(shortest -> latencyObjective.toMillis() >= shortest.toMillis() * PATIENT_FACTOR);
    }
}
