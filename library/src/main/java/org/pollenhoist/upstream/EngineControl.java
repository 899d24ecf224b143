package org.pollenhoist.upstream;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;

/** Reports of and orders to model engines. The only place that knows their wire format implements this interface. */
public interface EngineControl {

    /**
     * Asks an engine for its report.
     *
     * @param engine the engine
     * @return the report, or empty where none came in time
     */
    Optional<EngineReport> report(Upstream engine);

    /**
     * Asks several engines for their reports; an implementation may ask them at once.
     *
     * @param engines the engines
     * @return the reports that came in time
     */
    default Map<UpstreamName, EngineReport> reports(List<Upstream> engines) {
        Map<UpstreamName, EngineReport> reports = new TreeMap<>();
        for (Upstream engine : engines) {
            report(engine).ifPresent(report -> reports.put(engine.name(), report));
        }
        return reports;
    }

    /**
     * Sends an order to one incarnation of an engine. An implementation sends it over a connection on which that
     * incarnation has reported, so that the order can't reach a later one.
     *
     * @param engine the engine
     * @param incarnation the incarnation that the order is for
     * @param order the order
     * @param notAfter after this time the order is not sent any more; read on the clock just before it is sent
     * @return the engine's answer
     */
    OrderAnswer send(Upstream engine, String incarnation, EngineOrder order, MonotonicTime notAfter);
}
