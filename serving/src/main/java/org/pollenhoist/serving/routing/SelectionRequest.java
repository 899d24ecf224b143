package org.pollenhoist.serving.routing;

import java.time.Duration;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.PromptSegment;

/**
 * The properties of a request that the choice of its upstream depends on.
 *
 * @param service the name of the requested service
 * @param model the requested model; empty for plain services
 * @param adapter the requested adapter of the model; empty if none
 * @param promptTokens length of the prompt in tokens
 * @param meanPromptTokens mean prompt length for this kind of request
 * @param totalTokens prompt and output tokens together
 * @param promptSegments the segments of the prompt in order
 * @param priority the priority; 0 is the highest
 * @param waitingSince when the request was received, or when its stream broke off
 * @param deadline when the request must be answered
 * @param latencyObjective the latency objective for the first token
 * @param shortestObjectives the shortest latency objective of all requests to the service, by priority
 * @param firstEventDeadline when the caller disconnects if it has not received an event
 * @param softwareVersions the software versions of the upstreams that may be selected; empty if any may
 * @param excluded identifiers of upstreams that must not be selected now
 * @param avoided identifiers of upstreams that failed this request; selected only if there is no other
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
        MonotonicTime waitingSince,
        MonotonicTime deadline,
        Duration latencyObjective,
        NavigableMap<Integer, Duration> shortestObjectives,
        MonotonicTime firstEventDeadline,
        Set<String> softwareVersions,
        Set<String> excluded,
        Set<String> avoided) {

    /** Makes immutable copies of the collections. */
    public SelectionRequest {
        promptSegments = List.copyOf(promptSegments);
        softwareVersions = Set.copyOf(softwareVersions);
        excluded = Set.copyOf(excluded);
        avoided = Set.copyOf(avoided);
    }

    boolean accepts(String softwareVersion) {
        return softwareVersions.isEmpty() || softwareVersions.contains(softwareVersion);
    }
}
