package org.pollenhoist.serving.node;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.pollenhoist.settings.FindingCode;
import org.pollenhoist.settings.Findings;
import org.pollenhoist.settings.InvalidSettingsException;
import org.pollenhoist.settings.TomlTable;

/**
 * The settings of a serving process.
 *
 * @param vmName the VM's name
 * @param failureDomain its failure domain
 * @param isFirstStart whether the whole fleet starts for the first time
 * @param callerAddress where requests of callers are accepted
 * @param readinessAddress where the load balancer checks readiness
 * @param peerAddress where digests and relay requests of peers are received
 * @param metricsAddress where metrics are served
 * @param storeAddress the address of the store
 * @param stopGrace time between the start of a planned stop and the kill of the process
 * @param retryRatio retries that the fleet may make per request
 * @param retryWindow the window over which retries are counted
 * @param retryAllowance retries per window beyond the ratio, for the whole fleet
 * @param propagationBound the time within which configurations and leaving upstreams must be known on all VMs
 * @param upstreamHeartbeat how often upstreams renew their entries, which expire after three missed heartbeats
 * @param handoverInterval minimum time between the orders of two placement leaders to the same engine
 * @param linkMegabits the bandwidth of the VM's link in megabits per second, rounded up; 0 if the settings name none
 */
public record ServingSettings(
        String vmName,
        String failureDomain,
        boolean isFirstStart,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress storeAddress,
        Duration stopGrace,
        double retryRatio,
        Duration retryWindow,
        double retryAllowance,
        Duration propagationBound,
        Duration upstreamHeartbeat,
        Duration handoverInterval,
        int linkMegabits) {

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;
    private static final int MAX_PORT = 65_535;
    private static final double MAX_SECONDS = 600;
    private static final int MAX_MILLISECONDS = 600_000;
    private static final int MAX_RETRIES = 1_000_000;
    private static final double MAX_LINK_MEGABITS = 1_000_000_000;

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with all findings if the file is incomplete or contains values that are not
     *     allowed
     */
    public static ServingSettings load(Path path) {
        Findings findings = new Findings();
        TomlTable root = TomlTable.load(path, findings);
        findings.throwIfAny();
        TomlTable vm = root.table("vm");
        TomlTable listen = root.table("listen");
        TomlTable store = root.table("store");
        TomlTable shutdown = root.table("shutdown");
        TomlTable retries = root.table("retries");
        TomlTable propagation = root.table("propagation");
        TomlTable upstreams = root.table("upstreams");
        TomlTable placement = root.table("placement");
        TomlTable link = root.table("link");
        ServingSettings settings = new ServingSettings(
                vm.text("name"),
                vm.text("failure_domain"),
                vm.flag("first_start", false),
                endpoint(listen, "callers"),
                endpoint(listen, "readiness"),
                endpoint(listen, "peers"),
                endpoint(listen, "metrics"),
                endpoint(store, "address"),
                seconds(shutdown.number("grace_seconds", 1, MAX_SECONDS)),
                retries.number("ratio", 0, 1),
                seconds(retries.number("window_seconds", 1, MAX_SECONDS)),
                retries.number("allowance", 0, MAX_RETRIES),
                shorter(
                        milliseconds(propagation, "configuration_milliseconds"),
                        milliseconds(propagation, "leaving_milliseconds")),
                milliseconds(upstreams, "heartbeat_milliseconds"),
                milliseconds(placement, "turn_milliseconds"),
                (int) Math.ceil(link.number("megabits_per_second", 0, 0, MAX_LINK_MEGABITS)));
        List.of(root, vm, listen, store, shutdown, retries, propagation, upstreams, placement, link)
                .forEach(TomlTable::rejectUnknownKeys);
        findings.throwIfAny();
        return settings;
    }

    /**
     * Returns these settings with another link.
     *
     * @param megabits the bandwidth in megabits per second, 0 or less if it is not known
     * @return the settings
     */
    public ServingSettings withLinkMegabits(int megabits) {
        return new ServingSettings(
                vmName,
                failureDomain,
                isFirstStart,
                callerAddress,
                readinessAddress,
                peerAddress,
                metricsAddress,
                storeAddress,
                stopGrace,
                retryRatio,
                retryWindow,
                retryAllowance,
                propagationBound,
                upstreamHeartbeat,
                handoverInterval,
                Math.max(0, megabits));
    }

    /** Returns whether a running process can apply these settings, that is, its name and addresses are unchanged. */
    boolean isApplicableTo(ServingSettings running) {
        return vmName.equals(running.vmName)
                && callerAddress.equals(running.callerAddress)
                && peerAddress.equals(running.peerAddress);
    }

    private static Duration milliseconds(TomlTable table, String key) {
        return Duration.ofMillis(table.integer(key, 100, MAX_MILLISECONDS));
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    private static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * MILLISECONDS_PER_SECOND));
    }

    private static InetSocketAddress endpoint(TomlTable table, String key) {
        String text = table.text(key);
        int colon = text.lastIndexOf(':');
        boolean isPort = colon > 0 && text.substring(colon + 1).matches("\\d{1,5}");
        int port = isPort ? Integer.parseInt(text.substring(colon + 1)) : 0;
        if (isPort && port >= 1 && port <= MAX_PORT && TomlTable.isIpNumber(text.substring(0, colon))) {
            return new InetSocketAddress(text.substring(0, colon), port);
        }
        if (!text.isEmpty()) {
            table.reject(
                    key, "'" + text + "'", "an IP address and a port, such as 10.0.0.1:8080", FindingCode.NOT_ALLOWED);
        }
        return new InetSocketAddress(1);
    }
}
