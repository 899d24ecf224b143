package org.pollenhoist.caller;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.function.LongSupplier;
import org.pollenhoist.common.ModelName;

/** What an entry process counts, under the names that the operators' pages explain. */
public final class EntryMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Counter requests = Counter.builder()
            .name("pollenhoist_requests_total")
            .help("Requests by outcome: ok or the refusal's code.")
            .labelNames("outcome")
            .register(registry);

    private final Counter attempts = Counter.builder()
            .name("pollenhoist_attempts_total")
            .help("Attempts at upstreams by result.")
            .labelNames("result")
            .register(registry);

    private final Histogram overhead = Histogram.builder()
            .name("pollenhoist_decision_seconds")
            .help("Time from a request's arrival to its first attempt, in seconds.")
            .register(registry);

    private final Gauge revision = Gauge.builder()
            .name("pollenhoist_configuration_revision")
            .help("The revision of the configuration in force.")
            .register(registry);

    private final Gauge running = Gauge.builder()
            .name("pollenhoist_running_requests")
            .help("Requests that run now.")
            .register(registry);

    private final Gauge modelSequences = Gauge.builder()
            .name("pollenhoist_model_sequences")
            .help("Requests that run or wait now, by model; placement reads it as demand.")
            .labelNames("model")
            .register(registry);

    /**
     * Notes that requests for a model have begun or ended.
     *
     * @param model the model
     * @param change 1 for a begun request, -1 for an ended one
     */
    public void changeModelSequences(ModelName model, int change) {
        modelSequences.labelValues(model.value()).inc(change);
    }

    /**
     * Counts a request that has ended.
     *
     * @param outcome {@code ok} or the refusal's code
     */
    public void countRequest(String outcome) {
        requests.labelValues(outcome).inc();
    }

    /**
     * Counts an attempt.
     *
     * @param result what became of it
     */
    public void countAttempt(String result) {
        attempts.labelValues(result).inc();
    }

    /**
     * Notes how long the decisions before the first attempt took.
     *
     * @param seconds the time in seconds
     */
    public void observeDecision(double seconds) {
        overhead.observe(seconds);
    }

    /**
     * Notes the revision in force.
     *
     * @param number the revision
     */
    public void setRevision(long number) {
        revision.set((double) number);
    }

    /**
     * Notes how many requests run.
     *
     * @param count the count
     */
    public void setRunning(int count) {
        running.set(count);
    }

    /**
     * Has the bytes to and from peers shown, and the memory in use.
     *
     * @param sentBytes reads how many bytes were sent since the start
     * @param receivedBytes reads how many bytes were received since the start
     */
    public void showPeerTraffic(LongSupplier sentBytes, LongSupplier receivedBytes) {
        CounterWithCallback.builder()
                .name("pollenhoist_peer_bytes_total")
                .help("Bytes to and from other processes of the fleet.")
                .labelNames("direction")
                .callback(sample -> {
                    sample.call((double) sentBytes.getAsLong(), "sent");
                    sample.call((double) receivedBytes.getAsLong(), "received");
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name("pollenhoist_heap_used_bytes")
                .help("Heap in use, garbage included, in bytes.")
                .callback(sample -> sample.call((double)
                        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()))
                .register(registry);
    }

    /**
     * Returns the registry, so that further parts add their own.
     *
     * @return the registry
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Writes all metrics in Prometheus' text format.
     *
     * @return the text in UTF-8
     */
    public byte[] exposition() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        }
        return text.toByteArray();
    }
}
