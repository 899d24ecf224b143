package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.catalog.Service;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.routing.PrefillRateEstimator;
import org.pollenhoist.serving.routing.Selection;
import org.pollenhoist.serving.routing.SelectionRequest;
import org.pollenhoist.serving.routing.UpstreamSelector;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.VmDigest;
import org.slf4j.LoggerFactory;

/** A peer has the store's news of an upstream; this VM is behind and has nothing but the peer's digests. */
class ReportedDeparturesTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final InetSocketAddress PEER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7);
    private static final Service APP = new Service("app", 100, Optional.empty());
    private static final long BORN = 7;

    private final UpstreamTable peerUpstreams = new UpstreamTable();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final UpstreamSelector selector = new UpstreamSelector("north", new PrefillRateEstimator());
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger("pollenhoist.upstream");
    private final Level levelBefore = logger.getLevel();
    private MonotonicTime now = START;
    private StoreRevision own = new StoreRevision(1, 40);
    private StoreRevision peerRevision = new StoreRevision(1, 60);
    private long sequence;
    private final ReportedDepartures departures = new ReportedDepartures(upstreams, () -> own);
    private final PeerExchange peers = new PeerExchange(
            (datagram, receivers) -> {}, () -> this.now, "vm-1", report -> departures.receive(report), datagram -> {});

    @BeforeEach
    void start() {
        put(peerUpstreams, "i-1", BORN, false);
        put(upstreams, "i-1", BORN, false);
        logger.setLevel(Level.INFO);
        logger.addAppender(log);
        log.start();
    }

    @AfterEach
    void stop() {
        logger.detachAppender(log);
        logger.setLevel(levelBefore);
    }

    private void put(UpstreamTable table, String name, long born, boolean isLeaving) {
        table.put(
                new UpstreamDescription(
                        name,
                        born,
                        "app",
                        "v1",
                        new InetSocketAddress(1),
                        "north",
                        4,
                        isLeaving,
                        0,
                        List.of(),
                        Set.of()),
                now);
    }

    private VmDigest peerDigest() {
        VmDigest digest = VmDigest.newBuilder()
                .setVmName("vm-2")
                .setFailureDomain("south")
                .setSequence(++sequence)
                .setStoreEra(peerRevision.era())
                .setStoreRevision(peerRevision.number())
                .build();
        return DigestCodec.withDepartures(digest, peerUpstreams.recentDepartures(now));
    }

    private void hearPeer() {
        peers.receive(peerDigest().toByteArray(), PEER);
        departures.update(now);
    }

    private void advance(Duration duration) {
        now = now.plus(duration);
        departures.update(now);
    }

    private Selection select() {
        MonotonicTime latest = now.plus(Duration.ofSeconds(5));
        SelectionRequest request = new SelectionRequest(
                "app",
                "",
                "",
                0,
                0,
                0,
                List.of(),
                1,
                now,
                latest,
                Duration.ofSeconds(1),
                new TreeMap<>(),
                latest,
                Set.of(),
                Set.of(),
                Set.of());
        return selector.select(request, APP, upstreams, now);
    }

    private boolean isUsable() {
        return upstreams.isUsable(upstreams.find("i-1").orElseThrow());
    }

    private List<String> lines() {
        return log.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    @Nested
    class VmThatIsBehind {

        @Test
        void should_select_another_upstream_when_the_entry_says_that_it_leaves() {
            put(peerUpstreams, "i-1", BORN, true);
            put(upstreams, "i-2", BORN, false);
            upstreams.find("i-2").orElseThrow().begin(0, 0);
            assertThat(select()).extracting("upstream.description.identifier").isEqualTo("i-1");

            hearPeer();

            assertThat(select()).extracting("upstream.description.identifier").isEqualTo("i-2");
        }

        @Test
        void should_send_nothing_to_an_upstream_whose_entry_is_gone() {
            peerUpstreams.remove("i-1", "entry removed", now);

            hearPeer();

            assertThat(isUsable()).isFalse();
        }

        @Test
        void should_hear_of_it_from_another_failure_domain_with_the_summary() {
            peerUpstreams.remove("i-1", "entry removed", now);

            VmDigest summary = DigestCodec.withDomainSummary(peerDigest(), DomainSummary.getDefaultInstance());
            peers.receive(summary.toByteArray(), PEER);

            assertThat(isUsable()).isFalse();
        }

        @Test
        void should_send_to_a_later_lifetime() {
            peerUpstreams.remove("i-1", "entry removed", now);
            put(upstreams, "i-1", BORN + 1, false);

            hearPeer();

            assertThat(isUsable()).isTrue();
        }

        @Test
        void should_not_pass_it_on() {
            peerUpstreams.remove("i-1", "entry removed", now);

            hearPeer();

            assertThat(upstreams.recentDepartures(now)).isEmpty();
            assertThat(upstreams.find("i-1").orElseThrow().hasAnnouncedLeaving())
                    .isFalse();
        }

        @Test
        void should_take_an_end_without_notice_for_unexpected_still() {
            peerUpstreams.remove("i-1", "entry removed", now);
            hearPeer();
            var upstream = upstreams.find("i-1").orElseThrow();

            upstreams.remove("i-1", "entry removed", now);

            assertThat(upstream.hasEndedUnexpectedly()).isTrue();
        }

        @Test
        void should_go_by_its_entry_again_when_nobody_tells_it_any_more() {
            peerUpstreams.remove("i-1", "entry removed", now);
            hearPeer();

            advance(ReportedDepartures.MAXIMUM_AGE);

            assertThat(isUsable()).isTrue();
        }

        @Test
        void should_log_the_beginning_and_the_end_once() {
            peerUpstreams.remove("i-1", "entry removed", now);
            hearPeer();
            hearPeer();
            own = peerRevision;
            advance(Duration.ofMillis(50));

            assertThat(lines())
                    .containsExactly(
                            "event=upstream_gone upstream=i-1 reason=\"entry removed\"",
                            "event=upstream_departed_elsewhere upstream=i-1 peer=vm-2 peer_revision=1/60"
                                    + " revision=1/40",
                            "event=upstream_departure_settled upstream=i-1 reason=known usable=true revision=1/60");
        }
    }

    /** The entry lapsed while its owner stood still, and was written again in the same lifetime. */
    @Nested
    class EntryWrittenAgain {

        @Test
        void should_count_as_soon_as_this_vm_knows_the_store_up_to_the_removal() {
            peerUpstreams.remove("i-1", "entry removed", now);
            hearPeer();

            own = peerRevision;
            put(upstreams, "i-1", BORN, false);
            advance(Duration.ofMillis(50));

            assertThat(isUsable()).isTrue();
        }

        @Test
        void should_not_be_undone_by_a_peer_that_has_not_heard_of_it() {
            peerUpstreams.remove("i-1", "entry removed", now);
            own = new StoreRevision(1, 61);

            hearPeer();

            assertThat(isUsable()).isTrue();
        }

        @Test
        void should_be_told_no_more_by_a_peer_that_has_it() {
            peerUpstreams.remove("i-1", "entry removed", now);
            put(peerUpstreams, "i-1", BORN, false);
            peerRevision = new StoreRevision(1, 61);

            hearPeer();

            assertThat(isUsable()).isTrue();
        }
    }

    /** The store has come back from an older copy. */
    @Nested
    class NewEra {

        @Test
        void should_settle_what_was_told_of_the_era_before() {
            peerUpstreams.remove("i-1", "entry removed", now);
            hearPeer();

            own = new StoreRevision(2, 30);
            advance(Duration.ofMillis(50));

            assertThat(isUsable()).isTrue();
        }
    }
}
