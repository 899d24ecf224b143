package org.pollenhoist.serving.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.vm.generated.VmDigest;

/**
 * Sends this VM's digests to peers and keeps the newest digest of each peer. Datagrams are sufficient, since a digest
 * contains complete state rather than changes, and no connection has to be re-established after a partition. Confined
 * to the event loop.
 */
public final class PeerExchange {

    /**
     * Maximum age of the newest digest of a responsive peer: two digests in a row from another failure domain may be
     * lost.
     */
    public static final Duration REPORT_TIMEOUT = Duration.ofMillis(1_600);

    private static final DecisionLog LOG = DecisionLog.of("peer");

    private record Peer(InetSocketAddress address, String failureDomain) {}

    private final DatagramTransport transport;
    private final Supplier<MonotonicTime> clock;
    private final String self;
    private final Consumer<PeerReport> onReport;
    private final Consumer<VmDigest> onStreams;
    private final Map<String, PeerReport> reports = new LinkedHashMap<>();
    private final Map<String, Peer> peers = new LinkedHashMap<>();

    /**
     * Creates an exchange that knows no peers yet.
     *
     * @param transport sends datagrams
     * @param clock reads the current time
     * @param self the name of this VM
     * @param onReport receives each new digest
     * @param onStreams receives the datagrams that are only about streams
     */
    public PeerExchange(
            DatagramTransport transport,
            Supplier<MonotonicTime> clock,
            String self,
            Consumer<PeerReport> onReport,
            Consumer<VmDigest> onStreams) {
        this.transport = transport;
        this.clock = clock;
        this.self = self;
        this.onReport = onReport;
        this.onStreams = onStreams;
    }

    /**
     * Processes a received datagram. Digests that are older than the newest known one of the same process, and those
     * from this VM, are ignored.
     *
     * @param bytes the content of the datagram
     * @param sender the address it came from
     */
    public void receive(byte[] bytes, InetSocketAddress sender) {
        VmDigest digest;
        try {
            digest = VmDigest.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            LOG.event("datagram_malformed", "from", sender, "reason", malformed.getMessage());
            return;
        }
        if (digest.hasStreams()) {
            onStreams.accept(digest);
            return;
        }
        PeerReport known = reports.get(digest.getVmName());
        boolean isOutdated = known != null
                && known.digest().getIncarnation() == digest.getIncarnation()
                && known.digest().getSequence() >= digest.getSequence();
        if (isOutdated || digest.getVmName().equals(self)) {
            return;
        }
        MonotonicTime now = clock.get();
        if (known == null || known.digest().getIncarnation() != digest.getIncarnation()) {
            LOG.event("peer_heard", "vm", digest.getVmName(), "from", sender);
        }
        PeerReport report = new PeerReport(sender, digest, now);
        reports.put(digest.getVmName(), report);
        try {
            onReport.accept(report);
        } catch (RuntimeException invalid) {
            LOG.event("digest_rejected", "vm", digest.getVmName(), "from", sender, "reason", invalid);
        }
    }

    /**
     * Adds a peer or updates its address and failure domain.
     *
     * @param vm the peer's name
     * @param address its address
     * @param failureDomain its failure domain
     */
    public void putPeer(String vm, InetSocketAddress address, String failureDomain) {
        if (!vm.equals(self)) {
            peers.put(vm, new Peer(address, failureDomain));
        }
    }

    /**
     * Removes a peer and its newest digest.
     *
     * @param vm its name
     */
    public void removePeer(String vm) {
        peers.remove(vm);
        reports.remove(vm);
    }

    /**
     * Sends a digest to all peers.
     *
     * @param digest the digest
     */
    public void send(VmDigest digest) {
        send(digest, peers.values().stream());
    }

    /**
     * Sends a digest to the peers in a failure domain.
     *
     * @param failureDomain the failure domain
     * @param digest the digest
     */
    public void sendToDomain(String failureDomain, VmDigest digest) {
        send(digest, peers.values().stream().filter(peer -> peer.failureDomain().equals(failureDomain)));
    }

    /**
     * Sends a digest to the peers outside a failure domain.
     *
     * @param failureDomain the failure domain
     * @param digest the digest
     */
    public void sendToOtherDomains(String failureDomain, VmDigest digest) {
        send(
                digest,
                peers.values().stream().filter(peer -> !peer.failureDomain().equals(failureDomain)));
    }

    private void send(VmDigest digest, Stream<Peer> receivers) {
        transport.send(digest.toByteArray(), receivers.map(Peer::address).toList());
    }

    /**
     * Sends a digest to one peer.
     *
     * @param digest the digest
     * @param vm the peer's name; if its address is unknown, nothing is sent
     */
    public void sendTo(VmDigest digest, String vm) {
        Peer peer = peers.get(vm);
        if (peer != null) {
            transport.send(digest.toByteArray(), List.of(peer.address()));
        }
    }

    /**
     * Returns the newest digests of all responsive peers.
     *
     * @param now the current time
     * @return the reports
     */
    public Collection<PeerReport> recentReports(MonotonicTime now) {
        return reports.values().stream()
                .filter(report -> now.since(report.receivedAt()).compareTo(REPORT_TIMEOUT) < 0)
                .toList();
    }

    /**
     * Returns the newest digest of each peer, however old it is.
     *
     * @return the reports
     */
    public Collection<PeerReport> reports() {
        return Collections.unmodifiableCollection(reports.values());
    }

    /**
     * Counts the failure domains of all known peers.
     *
     * @return the number of distinct failure domains
     */
    public int countFailureDomains() {
        return (int) peers.values().stream().map(Peer::failureDomain).distinct().count();
    }

    /**
     * Returns whether no known peer is in a failure domain whose name comes before the given one.
     *
     * @param failureDomain the failure domain
     * @return true for exactly one of the failure domains that have VMs
     */
    public boolean isFirstFailureDomain(String failureDomain) {
        return peers.values().stream().noneMatch(peer -> peer.failureDomain().compareTo(failureDomain) < 0);
    }

    /**
     * Counts the known peers in a failure domain, responsive or not.
     *
     * @param failureDomain the failure domain
     * @return the number of peers
     */
    public int countPeersIn(String failureDomain) {
        return peerNamesIn(failureDomain).size();
    }

    /**
     * Returns the names of the known peers in a failure domain, responsive or not.
     *
     * @param failureDomain the failure domain
     * @return the names
     */
    public List<String> peerNamesIn(String failureDomain) {
        return peers.entrySet().stream()
                .filter(peer -> peer.getValue().failureDomain().equals(failureDomain))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns whether a known peer has an address.
     *
     * @param address the address, regardless of the port
     * @return false if it belongs to no VM of the fleet
     */
    public boolean isPeerAddress(InetAddress address) {
        return peers.values().stream()
                .anyMatch(peer -> peer.address().getAddress().equals(address));
    }

    /**
     * Returns the names of all known peers, responsive or not.
     *
     * @return the names
     */
    public Collection<String> peerNames() {
        return peers.keySet();
    }
}
