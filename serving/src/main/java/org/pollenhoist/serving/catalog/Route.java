package org.pollenhoist.serving.catalog;

import java.time.Duration;
import java.util.List;

/**
 * Where requests with a host and a path prefix go, and how they are to be served.
 *
 * @param name the operators' name
 * @param host the host, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout the longest time that a caller is kept waiting
 * @param latencyObjective the time within which the answer, or a stream's first event, is worth most
 * @param eventGapObjective the longest pause between events of a stream that is on time; zero for other kinds
 * @param priority its rank, 0 first
 * @param maximumAttempts how many upstreams may run one request
 * @param isPublic whether requests need no key
 * @param isResumable whether a stream may go on at another upstream
 * @param services the services that share the requests, at least one
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
        Duration eventGapObjective,
        int priority,
        int maximumAttempts,
        boolean isPublic,
        boolean isResumable,
        List<WeightedService> services) {

    private static final Duration LEAST_PATIENCE = Duration.ofSeconds(2);
    private static final int PATIENCE_IN_GOALS = 4;
    private static final int PATIENCE_IN_GAPS = 8;

    /** Copies the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Tells whether a request whose outcome is unknown may be sent again.
     *
     * @return true for idempotent requests and streams that may be resumed
     */
    public boolean isRepeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> isResumable;
        };
    }

    /**
     * Returns how long a caller waits for the first event of a stream before it leaves.
     *
     * @return two seconds, four times the goal or eight times the longest pause, whichever is longest; the timeout for
     *     other kinds
     */
    public Duration firstEventTimeout() {
        if (kind != RequestKind.STREAM) {
            return timeout;
        }
        Duration byGoal = latencyObjective.multipliedBy(PATIENCE_IN_GOALS);
        Duration byGap = eventGapObjective.multipliedBy(PATIENCE_IN_GAPS);
        Duration longer = byGoal.compareTo(byGap) > 0 ? byGoal : byGap;
        return longer.compareTo(LEAST_PATIENCE) > 0 ? longer : LEAST_PATIENCE;
    }

    /**
     * Picks the service of one request.
     *
     * @param point a point from 0 inclusive to 1 exclusive, the same for each try of a request
     * @return the service's name
     */
    public String serviceAt(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double passed = 0;
        for (WeightedService candidate : services) {
            passed += candidate.weight();
            if (point * total < passed) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
