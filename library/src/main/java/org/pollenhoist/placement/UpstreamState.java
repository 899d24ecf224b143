package org.pollenhoist.placement;

import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineReport;

/**
 * What is known of one engine.
 *
 * @param upstream its configuration
 * @param ledger its ledger, with the evidence of the last report
 * @param report the last report, empty where it is too old to rely on
 * @param steadyItems the items that answer requests and that no order can remove
 */
public record UpstreamState(
        Upstream upstream, UpstreamLedger ledger, Optional<EngineReport> report, NavigableSet<EngineItem> steadyItems) {

    /**
     * Returns the state of an engine.
     *
     * @param upstream its configuration
     * @param ledger its ledger
     * @param report the last report, empty where it is too old to rely on
     * @return the state
     */
    public static UpstreamState of(Upstream upstream, UpstreamLedger ledger, Optional<EngineReport> report) {
        NavigableSet<EngineItem> steady = new TreeSet<>();
        if (report.isPresent() && !report.get().isLeaving()) {
            report.get().residents().stream()
                    .filter(resident -> resident.state() == EngineReport.ResidentState.READY)
                    .map(EngineReport.Resident::item)
                    .filter(item -> !ledger.isUnloadPending(item))
                    .forEach(steady::add);
        }
        return new UpstreamState(upstream, ledger, report, steady);
    }

    /**
     * Returns the engine's name.
     *
     * @return the name
     */
    public UpstreamName name() {
        return upstream.name();
    }

    /**
     * Tells whether the engine answers and is to stay.
     *
     * @return whether it takes new items
     */
    public boolean isServing() {
        return report.isPresent() && !report.get().isLeaving();
    }

    /**
     * Tells whether a copy of a model, in any version, answers requests here.
     *
     * @param kind the kind of item
     * @param name the item's name
     * @return whether it does
     */
    public boolean isSteady(EngineItem.Kind kind, String name) {
        return steadyItems.stream()
                .anyMatch(item -> item.kind() == kind && item.name().equals(name));
    }

    UpstreamState withLedger(UpstreamLedger newLedger) {
        return of(upstream, newLedger, report);
    }
}
