package org.pollenhoist.experiments.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Model;

/**
 * Baseline: a request that finds no free place at a copy of its model has a further copy loaded, one at a time for each
 * model, to the least busy replica that can make room by removing its least recently used idle models.
 */
final class OnDemandStrategy implements PlacementStrategy {

    @Override
    public void everySecond(PlacementSimulation simulation, double now) {
        // Acts on requests alone.
    }

    @Override
    public void onShortage(PlacementSimulation simulation, ModelName name, double now) {
        if (simulation.isLoading(name)) {
            return;
        }
        Model model = simulation.model(name);
        Optional<SimulatedReplica> replica = simulation.replicas(model).stream()
                .filter(candidate -> !candidate.states().containsKey(name))
                .filter(SimulatedReplica::hasFreePlace)
                .filter(candidate -> reclaimable(candidate, simulation) >= SimulatedReplica.footprint(model))
                .min(Comparator.comparingInt(SimulatedReplica::busy));
        replica.ifPresent(chosen -> {
            for (ModelName victim : idleByAge(chosen)) {
                if (chosen.freeBytes() >= SimulatedReplica.footprint(model)) {
                    break;
                }
                chosen.setState(victim, SimulatedReplica.State.UNLOADING);
                chosen.removeIdle();
            }
            simulation.load(chosen, model, now);
        });
    }

    private static long reclaimable(SimulatedReplica replica, PlacementSimulation simulation) {
        return replica.freeBytes()
                + idleByAge(replica).stream()
                        .mapToLong(name -> SimulatedReplica.footprint(simulation.model(name)))
                        .sum();
    }

    private static List<ModelName> idleByAge(SimulatedReplica replica) {
        return replica.readyModels().stream()
                .filter(replica::isIdle)
                .sorted(Comparator.comparingDouble(replica::lastUsed))
                .toList();
    }
}
