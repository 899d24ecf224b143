package org.pollenhoist.experiments.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.placement.HomeDomains;

/** The placement from which every strategy begins: each model once at its first home, then copies by
 * mean demand while memory lasts. */
final class InitialPlacement {

    private InitialPlacement() {}

    static void apply(PlacementSimulation simulation, DemandTrace trace) {
        List<Model> models = new ArrayList<>(simulation.configuration().models().values());
        models.sort(Comparator.comparing(SimulatedReplica::footprint).reversed());
        HomeDomains homes = HomeDomains.of(simulation.configuration());
        Map<ModelName, Integer> copies = new HashMap<>();
        Map<SimulatedReplica, Double> load = new HashMap<>();
        for (Model model : models) {
            placeCopy(simulation, model, trace, copies, load, homes.firstHome(model.name()));
        }
        List<Model> open = new ArrayList<>(models);
        while (!open.isEmpty()) {
            Model neediest = open.stream()
                    .max(Comparator.comparingDouble(
                            model -> trace.meanRate(model.name()) / copies.getOrDefault(model.name(), 1)))
                    .orElseThrow();
            if (!placeCopy(simulation, neediest, trace, copies, load, Optional.empty())) {
                open.remove(neediest);
            }
        }
    }

    private static boolean placeCopy(
            PlacementSimulation simulation,
            Model model,
            DemandTrace trace,
            Map<ModelName, Integer> copies,
            Map<SimulatedReplica, Double> load,
            Optional<FailureDomain> domain) {
        Optional<SimulatedReplica> replica = simulation.replicas(model).stream()
                .filter(candidate -> domain.isEmpty()
                        || domain.get().equals(candidate.upstream().failureDomain()))
                .filter(candidate -> !candidate.states().containsKey(model.name()))
                .filter(candidate -> candidate.freeBytes() >= SimulatedReplica.footprint(model))
                .min(Comparator.comparingDouble(candidate -> load.getOrDefault(candidate, 0.0)));
        replica.ifPresent(chosen -> {
            chosen.place(model, SimulatedReplica.State.READY, 0);
            int count = copies.merge(model.name(), 1, Integer::sum);
            load.merge(chosen, trace.meanRate(model.name()) / count, Double::sum);
        });
        return replica.isPresent();
    }
}
