package org.pollenhoist.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.configuration.WeightStoreLimits;
import org.pollenhoist.upstream.EngineItem;
import org.pollenhoist.upstream.EngineOrder;
import org.pollenhoist.upstream.EngineReport;

/** Small values for the tests of this package. */
final class Samples {

    static final FailureDomain PIRAEUS = FailureDomain.of("piraeus");
    static final String INCARNATION = "i1";

    private Samples() {}

    static MonotonicTime seconds(double seconds) {
        return MonotonicTime.of(Duration.ofMillis((long) (seconds * 1000)));
    }

    static Upstream engine(String name, String domain, long memoryBytes, boolean refusesOldFencing) {
        return new Upstream(
                UpstreamName.of(name),
                Upstream.Kind.ENGINE,
                "scribe",
                "127.0.0.1",
                1,
                FailureDomain.of(domain),
                1,
                memoryBytes,
                refusesOldFencing);
    }

    static Model model(String name, String version, long bytes, String... adapters) {
        Set<AdapterName> names = new TreeSet<>();
        for (String adapter : adapters) {
            names.add(AdapterName.of(adapter));
        }
        return new Model(ModelName.of(name), version, "scribe", bytes, names, 1);
    }

    static EngineItem item(String name) {
        return EngineItem.model(ModelName.of(name), "1");
    }

    static EngineOrder load(String identifier, long fencing, String name, long bytes) {
        return new EngineOrder(identifier, fencing, EngineOrder.Action.LOAD, item(name), bytes);
    }

    static EngineOrder unload(String identifier, long fencing, String name) {
        return new EngineOrder(identifier, fencing, EngineOrder.Action.UNLOAD, item(name), 0);
    }

    static EngineReport.Resident ready(String name, long bytes) {
        return new EngineReport.Resident(item(name), bytes, EngineReport.ResidentState.READY);
    }

    static EngineReport report(
            String incarnation,
            long sequence,
            long highestFencing,
            List<EngineReport.Resident> residents,
            EngineReport.ReportedOrder... orders) {
        return new EngineReport(
                "engine",
                incarnation,
                sequence,
                Duration.ZERO,
                0,
                0,
                100,
                0,
                false,
                residents,
                List.of(orders),
                highestFencing);
    }

    static EngineReport.ReportedOrder done(String identifier) {
        return new EngineReport.ReportedOrder(identifier, EngineReport.OrderState.DONE);
    }

    static Configuration configuration(List<Model> models, List<Upstream> upstreams, WeightStoreLimits limits) {
        TreeMap<ModelName, Model> modelsByName = new TreeMap<>();
        models.forEach(model -> modelsByName.put(model.name(), model));
        TreeMap<UpstreamName, Upstream> upstreamsByName = new TreeMap<>();
        upstreams.forEach(upstream -> upstreamsByName.put(upstream.name(), upstream));
        return new Configuration(
                new TreeMap<>(),
                new TreeMap<>(),
                modelsByName,
                new TreeMap<>(),
                upstreamsByName,
                limits,
                new TreeMap<>());
    }

    /** A state in which each engine holds the models named after it, all ready. */
    static DomainState state(
            List<Model> models,
            Map<ModelName, Integer> required,
            Map<ModelName, Double> demand,
            UpstreamState... upstreams) {
        TreeMap<UpstreamName, UpstreamState> byName = new TreeMap<>();
        for (UpstreamState upstream : upstreams) {
            byName.put(upstream.name(), upstream);
        }
        TreeMap<ModelName, Model> modelsByName = new TreeMap<>();
        models.forEach(model -> modelsByName.put(model.name(), model));
        return new DomainState(PIRAEUS, byName, modelsByName, required, Map.of(), Set.of(), demand);
    }

    static UpstreamState holding(String engine, long memoryBytes, Model... models) {
        List<EngineReport.Resident> residents = new ArrayList<>();
        for (Model model : models) {
            residents.add(new EngineReport.Resident(
                    Footprint.modelItem(model), model.memoryBytes(), EngineReport.ResidentState.READY));
        }
        EngineReport report = report(INCARNATION, 1, 0, residents);
        Upstream upstream = engine(engine, "piraeus", memoryBytes, true);
        UpstreamLedger ledger =
                UpstreamLedger.empty(upstream.name(), memoryBytes).afterReport(report, true, Set.of());
        return UpstreamState.of(upstream, ledger, Optional.of(report));
    }
}
