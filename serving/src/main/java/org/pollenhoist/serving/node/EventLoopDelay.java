package org.pollenhoist.serving.node;

import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;

/**
 * Measures how late the event loop runs its periodic task. Whatever arrives at its sockets waits for about as long.
 * Confined to the event loop.
 */
final class EventLoopDelay {

    /** Shortest delay that is logged. */
    static final Duration LOGGED_DELAY = Duration.ofMillis(250);

    private static final DecisionLog LOG = DecisionLog.of("node");

    private final Duration interval;
    private final Histogram delays;
    private MonotonicTime endedAt;

    /**
     * Registers the metric.
     *
     * @param interval time between the end of a run of the periodic task and the next one
     * @param registry the registry of this process
     * @param now the current time
     */
    EventLoopDelay(Duration interval, PrometheusRegistry registry, MonotonicTime now) {
        this.interval = interval;
        this.endedAt = now;
        this.delays = Histogram.builder()
                .name("pollenhoist_event_loop_delay_seconds")
                .help("How late the event loop ran its periodic task, in seconds.")
                .classicOnly()
                .register(registry);
    }

    /**
     * Records that a run of the periodic task begins.
     *
     * @param now the current time
     */
    void begin(MonotonicTime now) {
        Duration sinceEnd = now.since(endedAt);
        Duration delay = sinceEnd.compareTo(interval) > 0 ? sinceEnd.minus(interval) : Duration.ZERO;
        delays.observe(delay.toNanos() / (double) Duration.ofSeconds(1).toNanos());
        if (delay.compareTo(LOGGED_DELAY) >= 0) {
            LOG.event("event_loop_late", "delay_ms", delay.toMillis());
        }
    }

    /**
     * Records that a run of the periodic task ends.
     *
     * @param now the current time
     */
    void end(MonotonicTime now) {
        endedAt = now;
    }
}
