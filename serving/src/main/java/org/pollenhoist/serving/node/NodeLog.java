package org.pollenhoist.serving.node;

import org.pollenhoist.common.DecisionLog;

/** Logs the life of a serving process. */
final class NodeLog {

    private static final DecisionLog LOG = DecisionLog.of("node");

    private NodeLog() {}

    static void started(ServingSettings settings, long incarnation) {
        LOG.event(
                "started",
                "vm",
                settings.vmName(),
                "failure_domain",
                settings.failureDomain(),
                "callers",
                settings.callerAddress(),
                "store",
                settings.storeAddress(),
                "first_start",
                settings.isFirstStart(),
                "link_megabits",
                settings.linkMegabits(),
                "incarnation",
                Long.toHexString(incarnation));
    }

    static void reloaded(boolean isChanged, boolean isApplied) {
        LOG.event("reload", "changed", isChanged, "applied", isApplied);
    }
}
