package org.pollenhoist.serving.node;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.serving.catalog.Catalog;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.store.Store;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreListener;
import org.pollenhoist.serving.store.StoreResult;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

/**
 * Applies changes of the store: the active configuration, the upstreams, the peers, the verdicts on what
 * crashes upstreams, the leadership record, and this VM's registration. Confined to the event loop.
 */
final class FleetState implements StoreListener {

    static final String LEADER_KEY = "pollenhoist/placement";

    private static final DecisionLog LOG = DecisionLog.of("node");
    private static final String VM_PREFIX = "pollenhoist/vms/";
    private static final Pattern REGISTRATION =
            Pattern.compile("(?<host>[0-9.]{7,15}):(?<port>[0-9]{1,5}) (?<domain>.+)");
    private static final int MAXIMUM_PORT = 65_535;

    private final ServingSettings settings;
    private final PlatformBinding binding;
    private final Supplier<MonotonicTime> clock;
    private final UpstreamTable upstreams;
    private final PeerExchange peers;
    private final Store store;
    private final Consumer<Catalog> onCatalog;
    private final Leadership leadership;
    private final CrashTracking crashes;
    private final StreamTracking streams;
    private final ConfigurationMetrics configurations;
    private Optional<Catalog> catalog = Optional.empty();
    private StoreRevision configurationRevision = StoreRevision.NONE;
    private final Set<String> unreadableUpstreams = new HashSet<>();
    private boolean isLoaded;
    private boolean isRegistered;
    private boolean isRegistering;

    FleetState(
            ServingSettings settings,
            PlatformBinding binding,
            Supplier<MonotonicTime> clock,
            UpstreamTable upstreams,
            PeerExchange peers,
            Store store,
            Consumer<Catalog> onCatalog,
            Leadership leadership,
            CrashTracking crashes,
            StreamTracking streams,
            ConfigurationMetrics configurations) {
        this.settings = settings;
        this.binding = binding;
        this.clock = clock;
        this.upstreams = upstreams;
        this.peers = peers;
        this.store = store;
        this.onCatalog = onCatalog;
        this.leadership = leadership;
        this.crashes = crashes;
        this.streams = streams;
        this.configurations = configurations;
    }

    Optional<Catalog> catalog() {
        return catalog;
    }

    /**
     * Returns the revision of the newest configuration in the store that this VM has read and that isn't newer than the
     * one in force here.
     *
     * @return its revision, {@link StoreRevision#NONE} before the first one
     */
    StoreRevision configurationRevision() {
        return configurationRevision;
    }

    @Override
    public void onWritten(StoreItem item) {
        if (item.key().equals(binding.catalogKey())) {
            installCatalog(item);
        } else if (item.key().startsWith(binding.upstreamPrefix())) {
            installUpstream(item);
        } else if (item.key().startsWith(binding.evacuationPrefix())) {
            upstreams.setEvacuated(evacuatedDomain(item.key()), true, clock.get());
        } else if (item.key().startsWith(VM_PREFIX)) {
            installPeer(item);
        } else if (item.key().equals(LEADER_KEY)) {
            leadership.onRecord(Optional.of(item), clock.get());
        } else if (!streams.onWritten(item, clock.get())) {
            crashes.onWritten(item, clock.get());
        }
    }

    @Override
    public void onRemoved(String key) {
        if (key.equals(LEADER_KEY)) {
            leadership.onRecord(Optional.empty(), clock.get());
        }
        if (streams.onRemoved(key) || crashes.onRemoved(key)) {
            return;
        }
        if (key.startsWith(binding.upstreamPrefix())) {
            String identifier = key.substring(binding.upstreamPrefix().length());
            unreadableUpstreams.remove(identifier);
            upstreams.remove(identifier, "entry removed", clock.get());
        } else if (key.startsWith(binding.evacuationPrefix())) {
            upstreams.setEvacuated(evacuatedDomain(key), false, clock.get());
        } else if (key.startsWith(VM_PREFIX)) {
            String vm = key.substring(VM_PREFIX.length());
            peers.removePeer(vm);
            if (vm.equals(settings.vmName())) {
                isRegistered = false;
            }
        }
    }

    @Override
    public void onListed() {
        boolean isFirstLoadOfFleet = !isLoaded && settings.isFirstStart();
        if (!isFirstLoadOfFleet) {
            leadership.onMissedChanges(clock.get());
        }
        isLoaded = true;
    }

    @Override
    public boolean mayBeRewritten(String key) {
        return key.startsWith(binding.upstreamPrefix());
    }

    private void installCatalog(StoreItem item) {
        MonotonicTime receivedAt = clock.get();
        long activeVersion = catalog.map(Catalog::version).orElse(0L);
        Catalog read;
        try {
            read = binding.readCatalog(item.value());
        } catch (PollenhoistException unreadable) {
            configurations.reject(ConfigurationMetrics.Rejection.UNREADABLE);
            LOG.event(
                    "configuration_unreadable",
                    "revision",
                    item.revision(),
                    "bytes",
                    item.value().length,
                    "in_force",
                    activeVersion,
                    "reason",
                    unreadable.getMessage());
            return;
        }
        configurationRevision = item.revision();
        if (read.version() < activeVersion) {
            configurations.reject(ConfigurationMetrics.Rejection.OLDER);
            LOG.event(
                    "configuration_older",
                    "version",
                    read.version(),
                    "revision",
                    item.revision(),
                    "in_force",
                    activeVersion);
            return;
        }
        MonotonicTime decodedAt = clock.get();
        catalog = Optional.of(read);
        upstreams.limitColdUpstreams(service ->
                read.service(service).map(Service::coldRequestsPerSecond).orElse(OptionalDouble.empty()));
        try {
            onCatalog.accept(read);
        } finally {
            // The configuration is in force even if something that follows from it fails.
            recordInForce(read, activeVersion, item, receivedAt, decodedAt);
        }
    }

    private void recordInForce(
            Catalog read, long versionBefore, StoreItem item, MonotonicTime receivedAt, MonotonicTime decodedAt) {
        MonotonicTime now = clock.get();
        configurations.cameIntoForce(read.version(), receivedAt, now);
        LOG.event(
                "configuration_in_force",
                "version",
                read.version(),
                "before",
                versionBefore,
                "revision",
                item.revision(),
                "routes",
                read.routeCount(),
                "decode_ms",
                decodedAt.since(receivedAt).toMillis(),
                "apply_ms",
                now.since(decodedAt).toMillis());
    }

    private void installUpstream(StoreItem item) {
        String identifier = item.key().substring(binding.upstreamPrefix().length());
        Optional<UpstreamDescription> description = binding.readUpstream(identifier, item.value());
        if (description.isPresent()) {
            upstreams.put(description.get(), clock.get());
            unreadableUpstreams.remove(identifier);
        } else {
            upstreams.remove(identifier, "unreadable entry at revision " + item.revision(), clock.get());
            if (unreadableUpstreams.add(identifier)) {
                LOG.event("upstream_unreadable", "upstream", identifier, "revision", item.revision());
            }
        }
    }

    private String evacuatedDomain(String key) {
        return key.substring(binding.evacuationPrefix().length());
    }

    private void installPeer(StoreItem item) {
        String vm = item.key().substring(VM_PREFIX.length());
        String entry = new String(item.value(), StandardCharsets.UTF_8);
        if (vm.equals(settings.vmName())) {
            isRegistered = entry.equals(ownRegistration());
            return;
        }
        Matcher registration = REGISTRATION.matcher(entry);
        if (!registration.matches() || !isUsable(registration.group("host"), registration.group("port"))) {
            LOG.event("registration_unreadable", "vm", vm, "revision", item.revision(), "bytes", item.value().length);
            return;
        }
        InetSocketAddress address =
                new InetSocketAddress(registration.group("host"), Integer.parseInt(registration.group("port")));
        peers.putPeer(vm, address, registration.group("domain"));
    }

    private static boolean isUsable(String host, String port) {
        return NetUtil.isValidIpV4Address(host) && Integer.parseInt(port) > 0 && Integer.parseInt(port) <= MAXIMUM_PORT;
    }

    /** Returns this VM's registration: the address at which it receives digests, and its failure domain. */
    private String ownRegistration() {
        InetSocketAddress address = settings.peerAddress();
        return address.getAddress().getHostAddress() + ":" + address.getPort() + " " + settings.failureDomain();
    }

    /** Writes this VM's registration if the store does not contain it, so that peers can find this VM. */
    void registerIfMissing() {
        if (!isLoaded || isRegistered || isRegistering) {
            return;
        }
        isRegistering = true;
        byte[] value = ownRegistration().getBytes(StandardCharsets.UTF_8);
        store.commit(
                List.of(),
                List.of(new Store.Write(VM_PREFIX + settings.vmName(), value, Optional.empty())),
                List.of(),
                result -> {
                    isRegistering = false;
                    isRegistered = result instanceof StoreResult.Success<StoreRevision>;
                    LOG.event("registration", "done", isRegistered, "entry", ownRegistration());
                });
    }
}
