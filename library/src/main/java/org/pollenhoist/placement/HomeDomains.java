package org.pollenhoist.placement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.CRC32;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;

/**
 * Which failure domains must hold a copy of which model. Worked out from the configuration alone, so that all domains
 * come to the same result without talking to each other: each model has a first home and, as far as memory allows, a
 * second one in another domain; in the domain of a pool that has only one, the second copy goes to another upstream.
 * Where a pool's memory does not hold two copies of each of its models, second copies are preferred, not required.
 */
public final class HomeDomains {

    /** The part of a pool's memory in a domain that second copies may not fill; it is for demand. */
    private static final double PART_FOR_DEMAND = 0.15;

    private final Map<FailureDomain, Map<ModelName, Integer>> required;
    private final Map<FailureDomain, Map<ModelName, Integer>> preferred;
    private final Map<ModelName, FailureDomain> firstHomes;

    private HomeDomains(
            Map<FailureDomain, Map<ModelName, Integer>> required,
            Map<FailureDomain, Map<ModelName, Integer>> preferred,
            Map<ModelName, FailureDomain> firstHomes) {
        this.required = required;
        this.preferred = preferred;
        this.firstHomes = firstHomes;
    }

    /**
     * Works out the home domains.
     *
     * @param configuration the configuration
     * @return the home domains of all models
     */
    public static HomeDomains of(Configuration configuration) {
        return of(configuration.models().values(), configuration.upstreams().values());
    }

    /**
     * Works out the home domains.
     *
     * @param models the models
     * @param upstreams the upstreams
     * @return the home domains of all models
     */
    public static HomeDomains of(Collection<Model> models, Collection<Upstream> upstreams) {
        Assignment assignment = new Assignment(upstreams);
        List<Model> largestFirst = models.stream()
                .sorted(Comparator.comparing(Footprint::bytes, Comparator.reverseOrder())
                        .thenComparing(Model::name))
                .toList();
        Map<ModelName, FailureDomain> firstHomes = new HashMap<>();
        for (Model model : largestFirst) {
            assignment.assign(model, Optional.empty()).ifPresent(domain -> firstHomes.put(model.name(), domain));
        }
        Map<FailureDomain, Map<ModelName, Integer>> preferred = new HashMap<>();
        largestFirst.stream().map(Model::pool).distinct().forEach(pool -> {
            List<Model> ofPool = largestFirst.stream()
                    .filter(model -> model.pool().equals(pool))
                    .toList();
            Assignment whole = assignment.copy();
            boolean isWhole = ofPool.stream()
                    .allMatch(model -> whole.assign(model, Optional.ofNullable(firstHomes.get(model.name())))
                            .isPresent());
            if (isWhole) {
                assignment.takeOver(whole);
            } else {
                whole.requiredBeyond(assignment)
                        .forEach((domain, more) -> preferred
                                .computeIfAbsent(domain, name -> new TreeMap<>())
                                .putAll(more));
            }
        });
        return new HomeDomains(assignment.required, preferred, firstHomes);
    }

    /**
     * Returns how many copies of each model a domain must hold.
     *
     * @param domain the domain
     * @return the number of copies, 1 or 2, of each model that it must hold
     */
    public Map<ModelName, Integer> requiredCopies(FailureDomain domain) {
        return Map.copyOf(required.getOrDefault(domain, Map.of()));
    }

    /**
     * Returns how many copies of each model a domain holds where nothing else needs the memory, because the memory of
     * the pool does not hold two copies of each of its models.
     *
     * @param domain the domain
     * @return the number of copies beyond the required ones
     */
    public Map<ModelName, Integer> preferredCopies(FailureDomain domain) {
        return Map.copyOf(preferred.getOrDefault(domain, Map.of()));
    }

    /**
     * Returns how many copies of a model all domains together must hold.
     *
     * @param model the model
     * @return 2, or 1 where the memory of its pool does not hold two copies of each model, or 0 where it holds none
     */
    public int requiredCopies(ModelName model) {
        return required.values().stream()
                .mapToInt(copies -> copies.getOrDefault(model, 0))
                .sum();
    }

    /**
     * Returns the domain that never gives up its last copy of a model.
     *
     * @param model the model
     * @return its first home, or empty where no domain has memory for it
     */
    public Optional<FailureDomain> firstHome(ModelName model) {
        return Optional.ofNullable(firstHomes.get(model));
    }

    private record DomainPool(FailureDomain domain, String pool) {}

    /** The memory that is left while the models are assigned. */
    private static final class Assignment {

        private final Map<FailureDomain, Map<ModelName, Integer>> required = new HashMap<>();
        private final Map<DomainPool, Double> bytesLeft = new HashMap<>();
        private final Map<DomainPool, Double> bytesForDemand = new HashMap<>();
        private final Map<DomainPool, Integer> engines = new HashMap<>();

        Assignment(Collection<Upstream> upstreams) {
            for (Upstream upstream : upstreams) {
                if (upstream.kind() == Upstream.Kind.ENGINE) {
                    DomainPool place = new DomainPool(upstream.failureDomain(), upstream.pool());
                    bytesLeft.merge(place, (double) upstream.memoryBytes(), Double::sum);
                    bytesForDemand.merge(place, PART_FOR_DEMAND * upstream.memoryBytes(), Double::sum);
                    engines.merge(place, 1, Integer::sum);
                }
            }
        }

        private Assignment() {}

        Assignment copy() {
            Assignment copy = new Assignment();
            copy.takeOver(this);
            return copy;
        }

        void takeOver(Assignment other) {
            bytesLeft.putAll(other.bytesLeft);
            bytesForDemand.putAll(other.bytesForDemand);
            engines.putAll(other.engines);
            other.required.forEach((domain, models) -> required.put(domain, new TreeMap<>(models)));
        }

        Map<FailureDomain, Map<ModelName, Integer>> requiredBeyond(Assignment before) {
            Map<FailureDomain, Map<ModelName, Integer>> beyond = new HashMap<>();
            required.forEach((domain, models) -> models.forEach((model, count) -> {
                int more =
                        count - before.required.getOrDefault(domain, Map.of()).getOrDefault(model, 0);
                if (more > 0) {
                    beyond.computeIfAbsent(domain, name -> new TreeMap<>()).put(model, more);
                }
            }));
            return beyond;
        }

        Optional<FailureDomain> assign(Model model, Optional<FailureDomain> firstHome) {
            double bytes = Footprint.bytes(model);
            List<DomainPool> places = new ArrayList<>();
            for (DomainPool place : bytesLeft.keySet()) {
                boolean isAnotherUpstream = engines.get(place) > 1;
                boolean isFirstHome = firstHome.isPresent() && place.domain().equals(firstHome.get());
                if (place.pool().equals(model.pool())
                        && bytesLeft.get(place) - kept(place, firstHome) >= bytes
                        && (!isFirstHome || isAnotherUpstream)) {
                    places.add(place);
                }
            }
            Optional<DomainPool> best = places.stream()
                    .min(Comparator.comparing(
                                    (DomainPool place) -> Objects.equals(place.domain(), firstHome.orElse(null)))
                            .thenComparing(place -> -Math.floor(bytesLeft.get(place) / bytes))
                            .thenComparing(place -> rank(model.name(), place.domain()))
                            .thenComparing(DomainPool::domain));
            best.ifPresent(place -> {
                bytesLeft.merge(place, -bytes, Double::sum);
                required.computeIfAbsent(place.domain(), domain -> new TreeMap<>())
                        .merge(model.name(), 1, Integer::sum);
            });
            return best.map(DomainPool::domain);
        }

        private double kept(DomainPool place, Optional<FailureDomain> firstHome) {
            return firstHome.isPresent() ? bytesForDemand.get(place) : 0;
        }

        private static long rank(ModelName model, FailureDomain domain) {
            CRC32 checksum = new CRC32();
            checksum.update((model.value() + "@" + domain.value()).getBytes(StandardCharsets.UTF_8));
            return checksum.getValue();
        }
    }
}
