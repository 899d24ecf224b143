package org.pollenhoist.experiments.processes;

import java.util.ArrayList;
import java.util.List;

/**
 * Which processes a fleet has. Entry VMs, engines and plain services are spread over the failure domains in turn.
 *
 * @param failureDomains the failure domains
 * @param entryVms how many entry VMs
 * @param engines how many model engines, all in the pool {@code scribe}
 * @param services how many plain services, all in the pool {@code berth}
 * @param hasPlacement whether a placement process runs in each failure domain
 * @param engineArguments further arguments of each engine
 * @param callerSettings further lines of each entry VM's settings for callers
 * @param shutdownSettings lines of each entry VM's settings for planned stops
 */
public record FleetPlan(
        List<String> failureDomains,
        int entryVms,
        int engines,
        int services,
        boolean hasPlacement,
        List<String> engineArguments,
        List<String> callerSettings,
        List<String> shutdownSettings) {

    private static final List<String> SHORT_STOP =
            List.of("unready_seconds = 0.2", "drain_seconds = 5", "grace_seconds = 8");

    /** Copies the lists. */
    public FleetPlan {
        failureDomains = List.copyOf(failureDomains);
        engineArguments = List.copyOf(engineArguments);
        callerSettings = List.copyOf(callerSettings);
        shutdownSettings = List.copyOf(shutdownSettings);
    }

    /**
     * Plans a fleet in the failure domains of Thalassa, with an engine and a plain service in each.
     *
     * @param entryVms how many entry VMs
     * @return the plan
     */
    public static FleetPlan thalassa(int entryVms) {
        List<String> domains = List.of("piraeus", "lavrio", "rafina");
        return new FleetPlan(
                domains, entryVms, domains.size(), domains.size(), false, List.of(), List.of(), SHORT_STOP);
    }

    /**
     * Returns the plan with other engines.
     *
     * @param count how many
     * @param arguments further arguments of each
     * @return the plan
     */
    public FleetPlan withEngines(int count, String... arguments) {
        return new FleetPlan(
                failureDomains,
                entryVms,
                count,
                services,
                hasPlacement,
                List.of(arguments),
                callerSettings,
                shutdownSettings);
    }

    /**
     * Returns the plan with a placement process in each failure domain or none.
     *
     * @param isWanted whether there are any
     * @return the plan
     */
    public FleetPlan withPlacement(boolean isWanted) {
        return new FleetPlan(
                failureDomains,
                entryVms,
                engines,
                services,
                isWanted,
                engineArguments,
                callerSettings,
                shutdownSettings);
    }

    /**
     * Returns the plan with further settings for callers.
     *
     * @param lines lines of TOML
     * @return the plan
     */
    public FleetPlan withCallerSettings(String... lines) {
        List<String> all = new ArrayList<>(callerSettings);
        all.addAll(List.of(lines));
        return new FleetPlan(
                failureDomains, entryVms, engines, services, hasPlacement, engineArguments, all, shutdownSettings);
    }

    /**
     * Returns the failure domain of the n-th process of a kind.
     *
     * @param index counted from 0
     * @return the failure domain
     */
    public String failureDomainOf(int index) {
        return failureDomains.get(index % failureDomains.size());
    }
}
