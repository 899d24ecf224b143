package org.pollenhoist.serving.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
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
 * Sends this VM's digest to all peers and keeps the newest one of each peer. Datagrams are enough, since a digest holds
 * state and not changes, and nothing has to be dialled anew after a partition. Confined to the event loop.
 */
public final class PeerExchange {

    /** A peer is heard while its last digest is not older than this: two from another failure domain may be lost. */
    public static final Duration HEARD_FOR = Duration.ofMillis(1_600);

    private static final DecisionLog LOG = DecisionLog.of("peer");

    private record Peer(InetSocketAddress address, String failureDomain) {}

    private final DatagramWire wire;
    private final Supplier<MonotonicTime> clock;
    private final String self;
    private final Consumer<PeerReport> onReport;
    private final Map<String, PeerReport> reports = new LinkedHashMap<>();
    private final Map<String, Peer> peers = new LinkedHashMap<>();

    /**
     * Creates an exchange that knows no peers yet.
     *
     * @param wire carries datagrams
     * @param clock reads the present time
     * @param self the name of this VM
     * @param onReport receives each new digest
     */
    public PeerExchange(DatagramWire wire, Supplier<MonotonicTime> clock, String self, Consumer<PeerReport> onReport) {
        this.wire = wire;
        this.clock = clock;
        this.self = self;
        this.onReport = onReport;
    }

    /**
     * Takes a datagram in.
     *
     * @param bytes the datagram
     * @param sender where it came from
     */
    public void receive(byte[] bytes, InetSocketAddress sender) {
        VmDigest digest;
        try {
            digest = VmDigest.parseFrom(bytes);
        } catch (InvalidProtocolBufferException malformed) {
            LOG.event("datagram_malformed", "from", sender, "reason", malformed.getMessage());
            return;
        }
        PeerReport known = reports.get(digest.getVmName());
        boolean isOvertaken = known != null
                && known.digest().getIncarnation() == digest.getIncarnation()
                && known.digest().getSequence() >= digest.getSequence();
        if (isOvertaken || digest.getVmName().equals(self)) {
            return;
        }
        MonotonicTime now = clock.get();
        if (known == null || known.digest().getIncarnation() != digest.getIncarnation()) {
            LOG.event("peer_heard", "vm", digest.getVmName(), "from", sender);
        }
        PeerReport report = new PeerReport(sender, digest, now);
        reports.put(digest.getVmName(), report);
        onReport.accept(report);
    }

    /**
     * Sets where a peer listens.
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
     * Forgets a peer.
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
    public void sendWithin(String failureDomain, VmDigest digest) {
        send(digest, peers.values().stream().filter(peer -> peer.failureDomain().equals(failureDomain)));
    }

    /**
     * Sends a digest to the peers outside a failure domain.
     *
     * @param failureDomain the failure domain
     * @param digest the digest
     */
    public void sendBeyond(String failureDomain, VmDigest digest) {
        send(
                digest,
                peers.values().stream().filter(peer -> !peer.failureDomain().equals(failureDomain)));
    }

    private void send(VmDigest digest, Stream<Peer> receivers) {
        wire.send(digest.toByteArray(), receivers.map(Peer::address).toList());
    }

    /**
     * Sends a digest to one peer.
     *
     * @param digest the digest
     * @param vm the peer's name; nothing is sent where its address is not known
     */
    public void sendTo(VmDigest digest, String vm) {
        Peer peer = peers.get(vm);
        if (peer != null) {
            wire.send(digest.toByteArray(), List.of(peer.address()));
        }
    }

    /**
     * Returns the newest digests of the peers that are heard.
     *
     * @param now the present time
     * @return the reports
     */
    public Collection<PeerReport> heard(MonotonicTime now) {
        return reports.values().stream()
                .filter(report -> now.since(report.heardAt()).compareTo(HEARD_FOR) < 0)
                .toList();
    }

    /**
     * Counts the failure domains of all peers.
     *
     * @return the number of different ones
     */
    public int failureDomains() {
        return (int) peers.values().stream().map(Peer::failureDomain).distinct().count();
    }

    /**
     * Counts the peers in a failure domain.
     *
     * @param failureDomain the failure domain
     * @return those that are known, whether they are heard or not
     */
    public int peersIn(String failureDomain) {
        return (int) peers.values().stream()
                .filter(peer -> peer.failureDomain().equals(failureDomain))
                .count();
    }

    /**
     * Returns the names of all peers that are known.
     *
     * @return the names, whether they are heard or not
     */
    public Collection<String> peers() {
        return peers.keySet();
    }
}
