package org.pollenhoist.serving.catalog;

import java.time.Duration;
import java.util.List;

/**
 * The services to which requests with a given host and path prefix are sent, and the rules for serving them.
 *
 * @param name the name that the operators gave the route
 * @param host the host, in lower case
 * @param pathPrefix the path prefix, which begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param timeout the longest time that a caller waits for a response
 * @param latencyObjective the time within which the response, or the first event of a stream, should be sent
 * @param eventGapObjective the longest time that should pass between two events of a stream; zero for other kinds
 * @param priority the priority of its requests; 0 is the highest
 * @param maximumAttempts the largest number of upstreams that may execute one request
 * @param isPublic whether requests are served without a key
 * @param isResumable whether a stream that broke off may be continued by another upstream
 * @param services the services among which requests are divided, at least one
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

    private static final Duration MINIMUM_FIRST_EVENT_TIMEOUT = Duration.ofSeconds(2);
    private static final int TIMEOUT_IN_LATENCY_OBJECTIVES = 4;
    private static final int TIMEOUT_IN_EVENT_GAP_OBJECTIVES = 8;

    /** Creates an immutable copy of the services. */
    public Route {
        services = List.copyOf(services);
    }

    /**
     * Returns whether a request may be sent again when its outcome is unknown.
     *
     * @return true for idempotent requests and for streams that may be resumed
     */
    public boolean isRepeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAM -> isResumable;
        };
    }

    /**
     * Returns how long a caller waits for the first event of a stream before it closes the connection.
     *
     * @return two seconds, four times the latency objective or eight times the event gap objective, whichever is
     *     longest; the route's timeout for other kinds
     */
    public Duration firstEventTimeout() {
        if (kind != RequestKind.STREAM) {
            return timeout;
        }
        Duration byLatencyObjective = latencyObjective.multipliedBy(TIMEOUT_IN_LATENCY_OBJECTIVES);
        Duration byEventGapObjective = eventGapObjective.multipliedBy(TIMEOUT_IN_EVENT_GAP_OBJECTIVES);
        Duration longer =
                byLatencyObjective.compareTo(byEventGapObjective) > 0 ? byLatencyObjective : byEventGapObjective;
        return longer.compareTo(MINIMUM_FIRST_EVENT_TIMEOUT) > 0 ? longer : MINIMUM_FIRST_EVENT_TIMEOUT;
    }

    /**
     * Selects the service for a request according to the services' weights.
     *
     * @param point a number from 0 inclusive to 1 exclusive, the same for all attempts of a request
     * @return the name of the selected service
     */
    public String serviceAt(double point) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double cumulativeWeight = 0;
        for (WeightedService candidate : services) {
            cumulativeWeight += candidate.weight();
            if (point * total < cumulativeWeight) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
