package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.VmDigest;
import org.slf4j.LoggerFactory;

class ConfigurationStandingTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final InetSocketAddress PEER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7);
    private static final long ERA = 1;
    private static final int TICK_MILLISECONDS = 50;

    private final StoreEras eras = new StoreEras();
    private final PeerExchange peers =
            new PeerExchange((datagram, receivers) -> {}, () -> this.now, "vm-1", report -> {}, datagram -> {});
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger("pollenhoist.node");
    private final Level levelBefore = logger.getLevel();
    private MonotonicTime now = START;
    private StoreRevision configuration = new StoreRevision(ERA, 40);
    private StoreRevision store = new StoreRevision(ERA, 47);
    private boolean isKnowledgeOld;
    private long sequence;
    private final ConfigurationStanding standing =
            new ConfigurationStanding(() -> configuration, () -> store, at -> isKnowledgeOld, eras, peers);

    @BeforeEach
    void start() {
        logger.setLevel(Level.INFO);
        logger.addAppender(log);
        log.start();
        standing.register(registry, () -> now);
        eras.observe(ERA, "store");
    }

    @AfterEach
    void stop() {
        logger.detachAppender(log);
        logger.setLevel(levelBefore);
    }

    private void hear(String vm, StoreRevision configurationRevision) {
        VmDigest digest = VmDigest.newBuilder()
                .setVmName(vm)
                .setFailureDomain("b")
                .setSequence(++sequence)
                .setStoreRevision(configurationRevision.number() + 5)
                .setStoreEra(configurationRevision.era())
                .build();
        peers.receive(
                DigestCodec.withConfiguration(digest, configurationRevision).toByteArray(), PEER);
    }

    private void run(long milliseconds) {
        MonotonicTime end = now.plus(Duration.ofMillis(milliseconds));
        while (now.isBefore(end)) {
            now = now.plus(Duration.ofMillis(TICK_MILLISECONDS));
            standing.update(now);
        }
    }

    private List<String> lines() {
        return log.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    private double gauge(String reason) {
        return registry.scrape().stream()
                .filter(metric -> metric.getMetadata().getName().equals("pollenhoist_configuration_missing"))
                .map(GaugeSnapshot.class::cast)
                .flatMap(metric -> metric.getDataPoints().stream())
                .filter(point -> reason.equals(point.getLabels().get("reason")))
                .findFirst()
                .orElseThrow()
                .getValue();
    }

    @Nested
    class VmThatHasTheNewest {

        @Test
        void should_lack_none_when_peers_name_the_same_or_an_older_one() {
            hear("vm-2", new StoreRevision(ERA, 40));
            hear("vm-3", new StoreRevision(ERA, 31));

            run(1_000);

            assertThat(standing.mayLackConfiguration(now)).isFalse();
            assertThat(gauge("heard_of_newer")).isZero();
            assertThat(lines()).isEmpty();
        }

        @Test
        void should_lack_none_when_only_other_items_of_the_store_are_newer_elsewhere() {
            peers.receive(
                    VmDigest.newBuilder()
                            .setVmName("vm-2")
                            .setSequence(1)
                            .setStoreEra(ERA)
                            .setStoreRevision(900)
                            .setConfigurationRevision(40)
                            .build()
                            .toByteArray(),
                    PEER);

            run(1_000);

            assertThat(standing.mayLackConfiguration(now)).isFalse();
        }
    }

    @Nested
    class VmThatIsBehind {

        @Test
        void should_lack_a_configuration_from_the_first_digest_that_names_a_newer_one() {
            hear("vm-2", new StoreRevision(ERA, 60));

            run(TICK_MILLISECONDS);

            assertThat(standing.mayLackConfiguration(now)).isTrue();
            assertThat(gauge("heard_of_newer")).isEqualTo(1);
            assertThat(gauge("knowledge_old")).isZero();
        }

        @Test
        void should_lack_it_for_as_long_as_it_has_not_got_it_though_all_peers_are_silent() {
            hear("vm-2", new StoreRevision(ERA, 60));

            run(60_000);

            assertThat(standing.mayLackConfiguration(now)).isTrue();
        }

        @Test
        void should_lack_none_as_soon_as_it_has_it() {
            hear("vm-2", new StoreRevision(ERA, 60));
            run(TICK_MILLISECONDS);

            configuration = new StoreRevision(ERA, 60);

            assertThat(standing.mayLackConfiguration(now)).isFalse();
        }

        @Test
        void should_say_once_that_it_begins_and_once_that_it_ceases_to_lack_it() {
            hear("vm-2", new StoreRevision(ERA, 60));
            run(2_000);
            configuration = new StoreRevision(ERA, 60);
            run(3_000);

            assertThat(lines())
                    .containsExactly(
                            "event=configuration_missing revision=1/40 newest=1/60 source=vm-2 source_age_ms=500"
                                    + " behind_ms=500 store_revision=1/47",
                            "event=configuration_caught_up revision=1/60 newest=1/60 source=vm-2"
                                    + " source_age_ms=3050 missed_ms=2050 store_revision=1/47");
        }

        @Test
        void should_say_nothing_of_a_change_that_is_relayed_in_the_usual_time() {
            hear("vm-2", new StoreRevision(ERA, 60));
            run(300);
            configuration = new StoreRevision(ERA, 60);
            run(3_000);

            assertThat(lines()).isEmpty();
        }
    }

    @Nested
    class VmWithOldKnowledge {

        @Test
        void should_lack_a_configuration_as_far_as_it_can_tell() {
            isKnowledgeOld = true;

            assertThat(standing.mayLackConfiguration(now)).isTrue();
            assertThat(gauge("knowledge_old")).isEqualTo(1);
            assertThat(gauge("heard_of_newer")).isZero();
        }
    }

    /** The store has come back from an older copy. */
    @Nested
    class NewEra {

        @Test
        void should_be_lacked_until_it_has_been_loaded() {
            eras.observe(ERA + 1, "vm-2");
            run(TICK_MILLISECONDS);
            assertThat(standing.mayLackConfiguration(now)).isTrue();

            store = new StoreRevision(ERA + 1, 30);

            assertThat(standing.mayLackConfiguration(now)).isFalse();
        }

        @Test
        void should_make_a_configuration_of_it_newer_than_all_of_the_era_before() {
            eras.observe(ERA + 1, "vm-2");
            store = new StoreRevision(ERA + 1, 30);

            hear("vm-2", new StoreRevision(ERA + 1, 20));
            run(TICK_MILLISECONDS);
            assertThat(standing.mayLackConfiguration(now)).isTrue();

            configuration = new StoreRevision(ERA + 1, 20);
            assertThat(standing.mayLackConfiguration(now)).isFalse();
        }

        @Test
        void should_make_configurations_of_the_era_before_not_missed() {
            eras.observe(ERA + 1, "vm-2");
            store = new StoreRevision(ERA + 1, 30);
            configuration = new StoreRevision(ERA + 1, 20);

            hear("vm-3", new StoreRevision(ERA, 60));
            run(1_000);

            assertThat(standing.mayLackConfiguration(now)).isFalse();
        }
    }

    /** Its revisions may be assigned again after the store has come back, which nothing shows. */
    @Nested
    class StoreWithoutEra {

        @Test
        void should_make_a_configuration_missed_only_while_peers_name_it() {
            configuration = StoreRevision.withoutEra(40);
            store = StoreRevision.withoutEra(47);
            StoreEras none = new StoreEras();
            ConfigurationStanding withoutEra =
                    new ConfigurationStanding(() -> configuration, () -> store, at -> false, none, peers);

            hear("vm-2", StoreRevision.withoutEra(60));
            withoutEra.update(now);
            assertThat(withoutEra.mayLackConfiguration(now)).isTrue();

            now = now.plus(StoreLag.LAPSE_WITHOUT_ERA);
            withoutEra.update(now);
            assertThat(withoutEra.mayLackConfiguration(now)).isFalse();
        }
    }
}
