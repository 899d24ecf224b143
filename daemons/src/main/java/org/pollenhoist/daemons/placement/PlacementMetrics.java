package org.pollenhoist.daemons.placement;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.pollenhoist.placement.Move;
import org.pollenhoist.placement.MoveGuard;
import org.pollenhoist.placement.PlacementCoordinator;

/** What a placement process counts. */
final class PlacementMetrics {

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final Gauge acting = Gauge.builder()
            .name("pollenhoist_placement_acting")
            .help("1 while this process acts for its failure domain.")
            .register(registry);

    private final Counter moves = Counter.builder()
            .name("pollenhoist_placement_moves_total")
            .help("Orders written to ledgers, by action and reason.")
            .labelNames("action", "reason")
            .register(registry);

    private final Counter refusals = Counter.builder()
            .name("pollenhoist_placement_refusals_total")
            .help("Moves that were proposed but not made in their round, by refusal.")
            .labelNames("refusal")
            .register(registry);

    private final Histogram rounds = Histogram.builder()
            .name("pollenhoist_placement_round_seconds")
            .help("Duration of a round with its calls, in seconds.")
            .register(registry);

    void observe(PlacementCoordinator.RoundResult result, double seconds) {
        acting.set(result.isActing() ? 1 : 0);
        rounds.observe(seconds);
        result.admission().ifPresent(admission -> admission.verdicts().forEach(this::count));
    }

    private void count(MoveGuard.Verdict verdict) {
        if (verdict.refusal().isPresent()) {
            refusals.labelValues(verdict.refusal().get().text()).inc();
            return;
        }
        String action = verdict.move() instanceof Move.Load ? "load" : "unload";
        moves.labelValues(action, verdict.move().reason().text()).inc();
    }

    byte[] exposition() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        }
        return text.toByteArray();
    }
}
