package org.pollenhoist.experiments.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Configuration;
import org.pollenhoist.configuration.Model;
import org.pollenhoist.configuration.Upstream;
import org.pollenhoist.configuration.WeightStoreLimits;

/**
 * A deployment of the brief, as far as placement depends on it.
 *
 * @param name its name
 * @param domains its failure domains
 * @param largePool the pool with most replicas
 * @param largeReplicas its replicas
 * @param smallPool the other pool
 * @param smallReplicas its replicas
 * @param models models of the large pool
 * @param smallModels models of the small pool
 * @param adapters adapters over all models
 * @param weightStore the weight store's limits
 */
public record PlacementDeployment(
        String name,
        List<String> domains,
        String largePool,
        int largeReplicas,
        String smallPool,
        int smallReplicas,
        int models,
        int smallModels,
        int adapters,
        WeightStoreLimits weightStore) {

    private static final long GIGABYTE = 1_000_000_000L;
    private static final long ENGINE_BYTES = 80 * GIGABYTE;
    private static final int SMALLEST_MODEL_GIGABYTES = 18;
    private static final int MODEL_SIZE_RANGE_GIGABYTES = 17;
    private static final long ADAPTER_BYTES = GIGABYTE / 5;

    /**
     * Returns the deployment of the fishing charters.
     *
     * @return the deployment
     */
    public static PlacementDeployment thalassa() {
        return new PlacementDeployment(
                "thalassa",
                List.of("piraeus", "lavrio", "rafina"),
                "scribe",
                13,
                "berth",
                3,
                26,
                4,
                110,
                new WeightStoreLimits(2, 17, 140));
    }

    /**
     * Returns the deployment of the florists.
     *
     * @return the deployment
     */
    public static PlacementDeployment gulposh() {
        return new PlacementDeployment(
                "gulposh",
                List.of("pkc-a", "pkc-b", "pkc-c", "pkc-d"),
                "phool-llm",
                13,
                "phool-app",
                4,
                31,
                4,
                95,
                new WeightStoreLimits(2, 5, 40));
    }

    /**
     * Returns the configuration with models of seeded sizes.
     *
     * @param seed the seed
     * @return the configuration
     */
    public Configuration configuration(long seed) {
        Random random = new Random(seed);
        TreeMap<ModelName, Model> byName = new TreeMap<>();
        for (int index = 0; index < models + smallModels; index++) {
            Model model = model(index, random);
            byName.put(model.name(), model);
        }
        TreeMap<UpstreamName, Upstream> upstreams = new TreeMap<>();
        addEngines(upstreams, largePool, largeReplicas);
        addEngines(upstreams, smallPool, smallReplicas);
        return new Configuration(
                new TreeMap<>(), new TreeMap<>(), byName, new TreeMap<>(), upstreams, weightStore, new TreeMap<>());
    }

    private Model model(int index, Random random) {
        int all = models + smallModels;
        int ownAdapters = adapters / all + (index < adapters % all ? 1 : 0);
        TreeSet<AdapterName> names = new TreeSet<>();
        for (int adapter = 0; adapter < ownAdapters; adapter++) {
            names.add(AdapterName.of("a" + adapter));
        }
        long bytes = (SMALLEST_MODEL_GIGABYTES + random.nextInt(MODEL_SIZE_RANGE_GIGABYTES)) * GIGABYTE;
        String pool = index < models ? largePool : smallPool;
        String padded = (index < 10 ? "0" : "") + index;
        return new Model(ModelName.of("m" + padded), "1", pool, bytes, names, ADAPTER_BYTES);
    }

    private void addEngines(TreeMap<UpstreamName, Upstream> upstreams, String pool, int count) {
        for (int index = 0; index < count; index++) {
            String domain = domains.get(index % domains.size());
            UpstreamName upstream = UpstreamName.of(pool + "-" + (index + 1));
            upstreams.put(
                    upstream,
                    new Upstream(
                            upstream,
                            Upstream.Kind.ENGINE,
                            pool,
                            "127.0.0.1",
                            1,
                            FailureDomain.of(domain),
                            1,
                            ENGINE_BYTES,
                            true));
        }
    }

    /**
     * Returns the failure domains.
     *
     * @return their names
     */
    public List<FailureDomain> failureDomains() {
        List<FailureDomain> names = new ArrayList<>();
        domains.forEach(domain -> names.add(FailureDomain.of(domain)));
        return names;
    }
}
