package org.pollenhoist.serving.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import org.pollenhoist.serving.routing.Selection;

/** Metrics of requests and attempts, under the names that the documentation for operators explains. */
public final class RequestMetrics {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    private final Counter requests;
    private final Counter attempts;
    private final Counter suspicions;
    private final Counter selections;
    private final Counter resumptions;
    private final Counter promptTokens;
    private final Counter keptTokens;
    private final Counter returns;
    private final Histogram promisedReturn;
    private final Histogram queueing;
    private final Histogram timeToFirstByte;

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public RequestMetrics(PrometheusRegistry registry) {
        requests = Counter.builder()
                .name("pollenhoist_requests_total")
                .help("Requests by route and outcome.")
                .labelNames("route", "outcome")
                .register(registry);
        attempts = Counter.builder()
                .name("pollenhoist_attempts_total")
                .help("Attempts at upstreams by result.")
                .labelNames("result")
                .register(registry);
        suspicions = Counter.builder()
                .name("pollenhoist_suspected_requests_total")
                .help("Decisions on requests that may have crashed upstreams, by decision.")
                .labelNames("decision")
                .register(registry);
        selections = Counter.builder()
                .name("pollenhoist_routing_decisions_total")
                .help("Routing decisions by reason. A request that waits is decided on several times.")
                .labelNames("decision", "reason")
                .register(registry);
        resumptions = Counter.builder()
                .name("pollenhoist_stream_resumptions_total")
                .help("Resumed streams, by how the software version that began the stream is known.")
                .labelNames("source")
                .register(registry);
        promptTokens = Counter.builder()
                .name("pollenhoist_prompt_tokens_total")
                .help("Prompt tokens of requests with prompt segments, by decision to send.")
                .register(registry);
        keptTokens = Counter.builder()
                .name("pollenhoist_prompt_tokens_kept_total")
                .help("Those of them that the chosen upstream was expected to keep, weighted by likelihood.")
                .register(registry);
        returns = Counter.builder()
                .name("pollenhoist_reckoned_returns_total")
                .help("Refusals for want of room, by kind of pool and by what the time of return rests on.")
                .labelNames("pool", "promised")
                .register(registry);
        promisedReturn = Histogram.builder()
                .name("pollenhoist_reckoned_return_seconds")
                .help("Time after which callers refused for want of room are told to return, in seconds.")
                .labelNames("pool", "promised")
                .classicOnly()
                .register(registry);
        queueing = Histogram.builder()
                .name("pollenhoist_queue_seconds")
                .help("Time from a request's arrival to its first attempt, in seconds.")
                .classicOnly()
                .register(registry);
        timeToFirstByte = Histogram.builder()
                .name("pollenhoist_first_answer_seconds")
                .help("Time from a request's arrival to the first byte of its answer, in seconds, by route.")
                .labelNames("route")
                .classicOnly()
                .register(registry);
    }

    void countRequest(String route, String outcome) {
        requests.labelValues(route, outcome).inc();
    }

    void countAttempt(String result) {
        attempts.labelValues(result).inc();
    }

    void countSuspicion(String decision) {
        suspicions.labelValues(decision).inc();
    }

    void countResumption(String source) {
        resumptions.labelValues(source).inc();
    }

    void countSelection(Selection selection) {
        switch (selection) {
            case Selection.Send send -> {
                selections.labelValues("send", send.reason()).inc();
                promptTokens.inc(send.saving().promptTokens());
                keptTokens.inc(send.saving().keptTokens());
            }
            case Selection.Wait wait ->
                selections.labelValues("wait", wait.reason()).inc();
            case Selection.Refuse refusal ->
                selections.labelValues("refuse", refusal.reason()).inc();
        }
    }

    void observeReturn(String poolKind, String promised, Duration after) {
        returns.labelValues(poolKind, promised).inc();
        promisedReturn.labelValues(poolKind, promised).observe(after.toMillis() / MILLISECONDS_PER_SECOND);
    }

    void observeQueueing(Duration waited) {
        queueing.observe(waited.toMillis() / MILLISECONDS_PER_SECOND);
    }

    void observeFirstByte(String route, Duration waited) {
        timeToFirstByte.labelValues(route).observe(waited.toMillis() / MILLISECONDS_PER_SECOND);
    }
}
