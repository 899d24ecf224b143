package org.pollenhoist.experiments.routing;

import java.time.Duration;
import java.util.List;
import org.pollenhoist.common.FailureDomain;

/**
 * The counts of one deployment, for the experiment.
 *
 * @param name the deployment's name
 * @param failureDomains its failure domains
 * @param engines replicas of the measured pool, dealt out over the failure domains in turn
 * @param vms entry VMs, dealt out in the same way
 * @param models models of the pool
 * @param betweenDomains delay of a message between two failure domains, one way
 * @param adapterLoad how long an engine takes to load an adapter
 * @param reportInterval time between two load reports of one engine
 */
public record Deployment(
        String name,
        List<FailureDomain> failureDomains,
        int engines,
        int vms,
        int models,
        Duration betweenDomains,
        Duration adapterLoad,
        Duration reportInterval) {

    /** Copies the list. */
    public Deployment {
        failureDomains = List.copyOf(failureDomains);
    }

    /**
     * Returns the counts of the fishing charters' pool scribe.
     *
     * @return the deployment
     */
    public static Deployment thalassa() {
        return new Deployment(
                "thalassa",
                domains("piraeus", "lavrio", "rafina"),
                13,
                9,
                30,
                Duration.ofMillis(1),
                Duration.ofMillis(12),
                Duration.ofMillis(250));
    }

    /**
     * Returns the counts of the florists' pool phool-llm.
     *
     * @return the deployment
     */
    public static Deployment gulposh() {
        return new Deployment(
                "gulposh",
                domains("pkc-a", "pkc-b", "pkc-c", "pkc-d"),
                13,
                8,
                35,
                Duration.ofMillis(1),
                Duration.ofMillis(19),
                Duration.ofMillis(250));
    }

    /**
     * Returns the same deployment with another time between load reports.
     *
     * @param interval the time
     * @return the deployment
     */
    public Deployment withReportInterval(Duration interval) {
        return new Deployment(name, failureDomains, engines, vms, models, betweenDomains, adapterLoad, interval);
    }

    FailureDomain domainOf(int index) {
        return failureDomains.get(index % failureDomains.size());
    }

    private static List<FailureDomain> domains(String... names) {
        return List.of(names).stream().map(FailureDomain::of).toList();
    }
}
