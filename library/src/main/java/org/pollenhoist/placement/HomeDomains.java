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
 */
public final class HomeDomains {

    /** The part of a pool's memory in a domain that required copies may fill; the rest is for demand. */
    private static final double REQUIRED_PART = 0.85;

    private final Map<FailureDomain, Map<ModelName, Integer>> required;
    private final Map<ModelName, FailureDomain> firstHomes;

    private HomeDomains(
            Map<FailureDomain, Map<ModelName, Integer>> required, Map<ModelName, FailureDomain> firstHomes) {
        this.required = required;
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
        for (Model model : largestFirst) {
            assignment.assign(model, Optional.ofNullable(firstHomes.get(model.name())));
        }
        return new HomeDomains(assignment.required, firstHomes);
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
        private final Map<DomainPool, Integer> engines = new HashMap<>();

        Assignment(Collection<Upstream> upstreams) {
            for (Upstream upstream : upstreams) {
                if (upstream.kind() == Upstream.Kind.ENGINE) {
                    DomainPool place = new DomainPool(upstream.failureDomain(), upstream.pool());
                    bytesLeft.merge(place, REQUIRED_PART * upstream.memoryBytes(), Double::sum);
                    engines.merge(place, 1, Integer::sum);
                }
            }
        }

        Optional<FailureDomain> assign(Model model, Optional<FailureDomain> firstHome) {
            double bytes = Footprint.bytes(model);
            List<DomainPool> places = new ArrayList<>();
            for (DomainPool place : bytesLeft.keySet()) {
                boolean isAnotherUpstream = engines.get(place) > 1;
                boolean isFirstHome = firstHome.isPresent() && place.domain().equals(firstHome.get());
                if (place.pool().equals(model.pool())
                        && bytesLeft.get(place) >= bytes
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

        private static long rank(ModelName model, FailureDomain domain) {
            CRC32 checksum = new CRC32();
            checksum.update((model.value() + "@" + domain.value()).getBytes(StandardCharsets.UTF_8));
            return checksum.getValue();
        }
    }
}
