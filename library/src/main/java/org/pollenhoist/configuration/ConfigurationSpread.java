package org.pollenhoist.configuration;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.FailureDomain;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.VmName;
import org.pollenhoist.vm.generated.ConfigurationAnnouncement;
import org.pollenhoist.vm.generated.ConfigurationContent;
import org.pollenhoist.vm.generated.ConfigurationRequest;
import org.pollenhoist.vm.generated.Frame;

/**
 * Decides how a VM learns of revisions and passes them on: who watches the platform, what is announced, requested and
 * sent to peers, and from when on the VM may serve.
 *
 * <p>Lock order: the monitor of this object, then that of the table's listeners. Listeners must not call back.
 */
public final class ConfigurationSpread {

    /** How often {@link #tick} is to be called. */
    public static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

    /** After how long without an answer of the platform a VM counts as cut off from it. */
    static final Duration PLATFORM_FRESHNESS = Duration.ofSeconds(3);

    /** After how long without word from a watching VM of its domain a VM watches the platform itself. */
    static final Duration WATCHER_SILENCE = Duration.ofMillis(2_500);

    /** How long a VM that starts without the platform waits for further peers before it serves. */
    static final Duration PEER_SETTLING = Duration.ofSeconds(1);

    private static final Duration REQUEST_PATIENCE = Duration.ofMillis(500);
    private static final int MEMBERS_TOLD_IN_OTHER_DOMAINS = 2;
    private static final int DOMAINS_TOLD_EACH_TICK = 3;
    private static final DecisionLog LOG = DecisionLog.of("configuration");

    private final ConfigurationPeer self;
    private final int watchersPerDomain;
    private final ConfigurationTable table;
    private final PlatformKnowledge knowledge = new PlatformKnowledge();
    private Map<VmName, ConfigurationPeer> peers = new TreeMap<>();
    private MonotonicTime lastWatcherWord;
    private MonotonicTime firstInstallation;
    private PendingRequest pending;
    private boolean isConfirmed;
    private boolean wasReady;
    private long leastRevision;
    private long ticks;

    private record PendingRequest(long revision, MonotonicTime sent) {}

    /** Where a revision came from. */
    private enum Source {
        PLATFORM,
        SAME_DOMAIN,
        OTHER_DOMAIN
    }

    /**
     * Creates the decisions of a VM.
     *
     * @param self the VM
     * @param watchersPerDomain how many VMs of each failure domain watch the platform
     * @param table where revisions are put in force
     */
    public ConfigurationSpread(ConfigurationPeer self, int watchersPerDomain, ConfigurationTable table) {
        this.self = self;
        this.watchersPerDomain = watchersPerDomain;
        this.table = table;
    }

    /**
     * Replaces the peers to which connections are open.
     *
     * @param connected the peers
     * @param now the present time
     * @return announcements to those that are new
     */
    public synchronized List<PeerFrame> peersChanged(Collection<ConfigurationPeer> connected, MonotonicTime now) {
        Map<VmName, ConfigurationPeer> earlier = peers;
        peers = connected.stream()
                .filter(peer -> !peer.name().equals(self.name()))
                .collect(Collectors.toMap(
                        ConfigurationPeer::name, peer -> peer, (first, second) -> first, TreeMap::new));
        List<ConfigurationPeer> fresh = peers.values().stream()
                .filter(peer -> !earlier.containsKey(peer.name()))
                .toList();
        return announcements(fresh, now);
    }

    /**
     * Decides on a message of a peer.
     *
     * @param from the sender
     * @param frame the message; other subjects' messages are ignored
     * @param now the present time
     * @return the messages to send
     */
    public synchronized List<PeerFrame> onFrame(VmName from, Frame frame, MonotonicTime now) {
        return switch (frame.getBodyCase()) {
            case CONFIGURATION_ANNOUNCEMENT -> onAnnouncement(from, frame.getConfigurationAnnouncement(), now);
            case CONFIGURATION_REQUEST -> onRequest(from, frame.getConfigurationRequest());
            case CONFIGURATION_CONTENT -> onContent(from, frame.getConfigurationContent(), now);
            default -> List.of();
        };
    }

    private List<PeerFrame> onAnnouncement(VmName from, ConfigurationAnnouncement announcement, MonotonicTime now) {
        noteKnowledge(from, announcement, now);
        if (announcement.getRevision() < table.revision()) {
            return List.of(new PeerFrame(from, announcement(now)));
        }
        boolean isHigher = announcement.getRevision() > table.revision();
        boolean isAsked = pending != null
                && pending.revision() >= announcement.getRevision()
                && now.since(pending.sent()).compareTo(REQUEST_PATIENCE) < 0;
        if (!isHigher || isAsked) {
            return List.of();
        }
        pending = new PendingRequest(announcement.getRevision(), now);
        ConfigurationRequest request = ConfigurationRequest.newBuilder()
                .setRevision(announcement.getRevision())
                .build();
        return List.of(new PeerFrame(
                from, Frame.newBuilder().setConfigurationRequest(request).build()));
    }

    private void noteKnowledge(VmName from, ConfigurationAnnouncement announcement, MonotonicTime now) {
        if (!announcement.hasPlatformAgeMilliseconds()) {
            return;
        }
        Duration age = Duration.ofMillis(Integer.toUnsignedLong(announcement.getPlatformAgeMilliseconds()));
        knowledge.recordAnswerOfPeer(age, now);
        if (sourceOf(from) == Source.SAME_DOMAIN && age.compareTo(PLATFORM_FRESHNESS) <= 0) {
            lastWatcherWord = now;
        }
    }

    private List<PeerFrame> onRequest(VmName from, ConfigurationRequest request) {
        Optional<InstalledConfiguration> current = table.current();
        if (current.isEmpty() || current.get().revision() < request.getRevision()) {
            return List.of();
        }
        InstalledConfiguration installed = current.get();
        ConfigurationContent content = ConfigurationContent.newBuilder()
                .setRevision(installed.revision())
                .setChangeIdentifier(installed.changeIdentifier())
                .setContentDigest(digestBytes(installed))
                .setContent(ByteString.copyFrom(installed.deflatedContent()))
                .build();
        return List.of(new PeerFrame(
                from, Frame.newBuilder().setConfigurationContent(content).build()));
    }

    private List<PeerFrame> onContent(VmName from, ConfigurationContent content, MonotonicTime now) {
        if (content.getRevision() <= table.revision()) {
            return List.of();
        }
        try {
            InstalledConfiguration candidate = InstalledConfiguration.of(
                    content.getRevision(),
                    content.getChangeIdentifier(),
                    HexFormat.of().formatHex(content.getContentDigest().toByteArray()),
                    content.getContent().toByteArray());
            return install(candidate, sourceOf(from), from.value(), now);
        } catch (PollenhoistException exception) {
            LOG.event("refuse_configuration", "from", from, "reason", exception.getMessage());
            return List.of();
        }
    }

    /**
     * Decides on a revision that the platform gave.
     *
     * @param found the revision
     * @param now the present time
     * @return the messages to send
     */
    public synchronized List<PeerFrame> onPlatformRevision(InstalledConfiguration found, MonotonicTime now) {
        knowledge.recordOwnAnswer(now);
        return install(found, Source.PLATFORM, "platform", now);
    }

    /**
     * Notes that the platform answered.
     *
     * @param now the present time
     */
    public synchronized void onPlatformAnswer(MonotonicTime now) {
        knowledge.recordOwnAnswer(now);
    }

    /**
     * Notes which revision stands at the platform for sure, so that a VM that starts serves no earlier one.
     *
     * @param revision the revision, 0 where nothing was ever committed
     * @param now the present time
     */
    public synchronized void onConfirmedRevision(long revision, MonotonicTime now) {
        knowledge.recordOwnAnswer(now);
        isConfirmed = true;
        leastRevision = Math.max(leastRevision, revision);
    }

    private List<PeerFrame> install(InstalledConfiguration candidate, Source source, String from, MonotonicTime now) {
        Installation result = table.install(candidate);
        if (result instanceof Installation.AlreadyInForce) {
            return List.of();
        }
        LOG.event(
                "install_configuration",
                "revision",
                candidate.revision(),
                "change",
                candidate.changeIdentifier(),
                "from",
                from,
                "result",
                result);
        if (!(result instanceof Installation.Installed)) {
            return List.of();
        }
        pending = null;
        firstInstallation = firstInstallation == null ? now : firstInstallation;
        return announcements(toldOf(source), now);
    }

    /** One VM of a domain tells all others of it, and those that learned from the platform tell other domains too. */
    private List<ConfigurationPeer> toldOf(Source source) {
        List<ConfigurationPeer> told = new ArrayList<>();
        if (source != Source.SAME_DOMAIN) {
            told.addAll(ownDomain());
        }
        if (source == Source.PLATFORM) {
            otherDomains()
                    .values()
                    .forEach(members ->
                            told.addAll(members.subList(0, Math.min(MEMBERS_TOLD_IN_OTHER_DOMAINS, members.size()))));
        }
        return told;
    }

    /**
     * Decides what is due. Call it every {@link #TICK_INTERVAL}.
     *
     * @param now the present time
     * @return the messages to send
     */
    public synchronized List<PeerFrame> tick(MonotonicTime now) {
        ticks++;
        List<ConfigurationPeer> told = new ArrayList<>();
        List<ConfigurationPeer> own = ownDomain();
        if (knowledge.hasOwnAnswerWithin(PLATFORM_FRESHNESS, now)) {
            told.addAll(own);
        } else if (!own.isEmpty()) {
            told.add(rotated(own, 0));
        }
        List<List<ConfigurationPeer>> others = new ArrayList<>(otherDomains().values());
        for (int index = 0; index < Math.min(DOMAINS_TOLD_EACH_TICK, others.size()); index++) {
            told.add(rotated(rotated(others, index), 0));
        }
        return announcements(told, now);
    }

    private <T> T rotated(List<T> candidates, int offset) {
        return candidates.get(Math.floorMod(self.name().hashCode() + ticks + offset, candidates.size()));
    }

    /**
     * Tells whether this VM watches the platform: as one of the first of its domain, or since the others are silent.
     *
     * @param now the present time
     * @return true where it watches
     */
    public synchronized boolean shouldWatch(MonotonicTime now) {
        if (table.current().isEmpty() || !isReady(now)) {
            return true;
        }
        boolean isSilent = lastWatcherWord == null || now.since(lastWatcherWord).compareTo(WATCHER_SILENCE) > 0;
        return isSilent || rankInDomain() < watchersPerDomain;
    }

    private long rankInDomain() {
        int own = weight(self.failureDomain().value(), self.name());
        return ownDomain().stream()
                .filter(peer -> weight(self.failureDomain().value(), peer.name()) > own)
                .count();
    }

    /**
     * Tells whether this VM may serve: it has a revision that is at least the one that the platform confirmed or, where
     * the platform does not answer, the highest that peers had while
     * they were given time to answer. Once it may, it goes on doing so.
     *
     * @param now the present time
     * @return true where it may serve
     */
    public synchronized boolean isReady(MonotonicTime now) {
        wasReady = wasReady || isReadyNow(now);
        return wasReady;
    }

    private boolean isReadyNow(MonotonicTime now) {
        if (table.current().isEmpty()) {
            return false;
        }
        if (isConfirmed) {
            return table.revision() >= leastRevision;
        }
        return firstInstallation != null && now.since(firstInstallation).compareTo(PEER_SETTLING) >= 0;
    }

    /**
     * Returns how long ago the platform answered this VM, or one of which it has word. Within this time a withdrawal
     * may have been missed.
     *
     * @param now the present time
     * @return the duration, or empty where there never was an answer
     */
    public synchronized Optional<Duration> platformAge(MonotonicTime now) {
        return knowledge.age(now);
    }

    private List<ConfigurationPeer> ownDomain() {
        return peers.values().stream()
                .filter(peer -> peer.failureDomain().equals(self.failureDomain()))
                .toList();
    }

    /** The peers of each other domain, in an order that differs from VM to VM, so that the load is spread. */
    private Map<FailureDomain, List<ConfigurationPeer>> otherDomains() {
        return peers.values().stream()
                .filter(peer -> !peer.failureDomain().equals(self.failureDomain()))
                .sorted(Comparator.comparingInt(peer -> weight(self.name().value(), peer.name())))
                .collect(Collectors.groupingBy(ConfigurationPeer::failureDomain, TreeMap::new, Collectors.toList()));
    }

    private static int weight(String subject, VmName name) {
        return Objects.hash(subject, name.value()) * 0x9E3779B1;
    }

    private Source sourceOf(VmName from) {
        ConfigurationPeer peer = peers.get(from);
        return peer != null && peer.failureDomain().equals(self.failureDomain())
                ? Source.SAME_DOMAIN
                : Source.OTHER_DOMAIN;
    }

    private List<PeerFrame> announcements(List<ConfigurationPeer> told, MonotonicTime now) {
        Frame announcement = announcement(now);
        return told.stream()
                .map(peer -> new PeerFrame(peer.name(), announcement))
                .toList();
    }

    private Frame announcement(MonotonicTime now) {
        ConfigurationAnnouncement.Builder announcement =
                ConfigurationAnnouncement.newBuilder().setRevision(table.revision());
        table.current().ifPresent(current -> announcement.setContentDigest(digestBytes(current)));
        knowledge
                .age(now)
                .ifPresent(age -> announcement.setPlatformAgeMilliseconds(
                        (int) Math.min(Integer.MAX_VALUE, Math.max(0, age.toMillis()))));
        return Frame.newBuilder().setConfigurationAnnouncement(announcement).build();
    }

    private static ByteString digestBytes(InstalledConfiguration configuration) {
        return ByteString.copyFrom(HexFormat.of().parseHex(configuration.contentDigest()));
    }
}
