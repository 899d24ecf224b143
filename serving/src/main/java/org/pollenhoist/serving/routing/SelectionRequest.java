package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * What has to be known of a request to choose its upstream.
 *
 * @param service the service it goes to
 * @param model the model it needs, empty for plain services
 * @param adapter the adapter of the model, empty for none
 * @param promptTokens length of its prompt
 * @param meanPromptTokens mean length of the prompts of its kind
 * @param totalTokens prompt and output
 * @param promptSegments the parts of its prompt in order
 * @param priority its rank, 0 first
 * @param arrivedAt when it was read
 * @param deadline when it must be answered
 * @param latencyObjective the time within which its first token is worth most
 * @param shortestObjectives the shortest such time of all requests to the service, by rank
 * @param firstEventDeadline when the caller leaves where no first event has come
 * @param excluded identifiers of upstreams that it must not go to now
 * @param avoided identifiers of upstreams that failed it, to which it goes again only where there is no other
 */
public record SelectionRequest(
        String service,
        String model,
        String adapter,
        long promptTokens,
        long meanPromptTokens,
        long totalTokens,
        List<PromptSegment> promptSegments,
        int priority,
        MonotonicTime arrivedAt,
        MonotonicTime deadline,
        Duration latencyObjective,
        NavigableMap<Integer, Duration> shortestObjectives,
        MonotonicTime firstEventDeadline,
        Set<String> excluded,
        Set<String> avoided) {

    /** Copies the collections. */
    public SelectionRequest {
        promptSegments = List.copyOf(promptSegments);
        excluded = Set.copyOf(excluded);
        avoided = Set.copyOf(avoided);
    }
}
