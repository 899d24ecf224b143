package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
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

class StoreStandingTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ofSeconds(100));
    private static final InetSocketAddress PEER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7);
    private static final long ERA = 1;
    private static final int TICK_MILLISECONDS = 50;

    private final StoreEras eras = new StoreEras();
    private final PeerExchange peers =
            new PeerExchange((datagram, receivers) -> {}, () -> this.now, "vm-1", report -> {}, datagram -> {});
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger("pollenhoist.store");
    private final Level levelBefore = logger.getLevel();
    private MonotonicTime now = START;
    private StoreRevision own = new StoreRevision(ERA, 7);
    private Optional<MonotonicTime> knownAsOf = Optional.of(START);
    private long sequence;
    private StoreStanding standing;

    @BeforeEach
    void start() {
        logger.setLevel(Level.INFO);
        logger.addAppender(log);
        log.start();
        standing = new StoreStanding("a", () -> own, () -> knownAsOf, eras, peers, START);
        standing.register(registry, () -> now);
        eras.observe(ERA, "store");
    }

    @AfterEach
    void stop() {
        logger.detachAppender(log);
        logger.setLevel(levelBefore);
    }

    private void hear(String vm, String domain, long revision, boolean watches) {
        VmDigest digest = VmDigest.newBuilder()
                .setVmName(vm)
                .setFailureDomain(domain)
                .setSequence(++sequence)
                .setStoreRevision(revision)
                .setStoreEra(ERA)
                .setFollowsStore(watches)
                .build();
        peers.receive(digest.toByteArray(), PEER);
    }

    /** Runs the periodic task until a time, with what is heard of and known as it is. */
    private void runUntil(long milliseconds, boolean watches) {
        MonotonicTime end = START.plus(Duration.ofMillis(milliseconds));
        while (now.isBefore(end)) {
            now = now.plus(Duration.ofMillis(TICK_MILLISECONDS));
            standing.update(watches, now);
        }
    }

    private List<String> lines() {
        return log.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
    }

    private double gauge(String name, String... labels) {
        return registry.scrape().stream()
                .filter(metric -> metric.getMetadata().getName().equals(name))
                .map(GaugeSnapshot.class::cast)
                .flatMap(metric -> metric.getDataPoints().stream())
                .filter(point ->
                        labels.length == 0 || labels[1].equals(point.getLabels().get(labels[0])))
                .findFirst()
                .orElseThrow()
                .getValue();
    }

    @Nested
    class VmThatIsBehind {

        @Test
        void should_say_so_once_with_its_source_and_its_watchers() {
            hear("vm-2", "a", 8, true);
            hear("vm-3", "b", 9, true);
            hear("vm-4", "a", 6, false);

            runUntil(3_000, false);

            assertThat(lines())
                    .containsExactly("event=store_trailing revision=1/7 newest=1/9 source=vm-3 source_age_ms=500"
                            + " behind_ms=500 watches=false knowledge_age_ms=500 watchers=1"
                            + " watchers_said=vm-2:1/8:500ms");
        }

        @Test
        void should_say_once_that_it_has_caught_up() {
            hear("vm-2", "a", 8, true);
            runUntil(2_000, true);
            knownAsOf = Optional.of(now);

            own = new StoreRevision(ERA, 8);
            runUntil(5_500, true);

            assertThat(lines()).hasSize(2);
            assertThat(lines().get(1))
                    .isEqualTo("event=store_caught_up revision=1/8 newest=1/8 source=vm-2 source_age_ms=3050"
                            + " trailed_ms=2050 level_for_ms=1000 watches=true knowledge_age_ms=1050 watchers=0"
                            + " watchers_said=vm-2:1/8:3050ms");
        }

        @Test
        void should_name_an_era_that_the_store_has_begun() {
            eras.observe(ERA + 1, "store");

            runUntil(1_000, true);

            assertThat(lines())
                    .filteredOn(line -> line.startsWith("event=store_trailing "))
                    .containsExactly("event=store_trailing revision=1/7 newest=2/0 source=era source_age_ms=500"
                            + " behind_ms=500 watches=true knowledge_age_ms=550 watchers=0 watchers_said=none");
        }
    }

    @Nested
    class VmWithOldKnowledge {

        @Test
        void should_say_so_once_and_once_that_its_knowledge_is_recent_again() {
            runUntil(6_000, true);
            knownAsOf = Optional.of(now);

            runUntil(9_000, true);

            assertThat(lines())
                    .containsExactly(
                            "event=store_knowledge_old revision=1/7 watches=true knowledge_age_ms=4000 watchers=0"
                                    + " watchers_said=none",
                            "event=store_knowledge_recent revision=1/7 oldest_ms=6050 watches=true"
                                    + " knowledge_age_ms=1050 watchers=0 watchers_said=none");
        }

        /** Else it refuses a route for good that has had to be in force here for a second. */
        @Test
        void should_count_it_as_old_once_a_change_that_it_has_not_heard_of_has_to_be_in_force() {
            Duration propagationBound = Duration.ofSeconds(3);

            assertThat(standing.isKnowledgeOld(START.plus(propagationBound))).isTrue();
        }

        @Test
        void should_take_its_knowledge_from_the_digests_of_watchers_of_its_domain_if_it_does_not_watch() {
            for (long second = 1; second <= 6; second++) {
                hear("vm-2", "a", 7, true);
                runUntil(second * 1_000, false);
            }

            assertThat(lines()).isEmpty();
            assertThat(gauge("pollenhoist_store_knowledge_age_seconds")).isEqualTo(1.0);
        }

        @Test
        void should_not_take_it_from_other_domains_or_from_peers_that_do_not_watch() {
            for (long second = 1; second <= 5; second++) {
                hear("vm-2", "b", 7, true);
                hear("vm-3", "a", 7, false);
                runUntil(second * 1_000, false);
            }

            assertThat(lines()).hasSize(1);
            assertThat(lines().get(0)).startsWith("event=store_knowledge_old ");
        }
    }

    @Nested
    class Metrics {

        @Test
        void should_have_the_names_that_the_documentation_for_operators_explains() {
            assertThat(registry.scrape().stream()
                            .map(MetricSnapshot::getMetadata)
                            .map(metadata -> metadata.getName()))
                    .containsExactlyInAnyOrder(
                            "pollenhoist_store_knowledge_age_seconds",
                            "pollenhoist_store_watched",
                            "pollenhoist_store_behind_seconds",
                            "pollenhoist_store_revision",
                            "pollenhoist_store_era",
                            "pollenhoist_store_peers");
        }

        @Test
        void should_show_how_far_the_revisions_of_peers_are_apart() {
            hear("vm-2", "a", 8, true);
            hear("vm-3", "b", 9, true);
            hear("vm-4", "b", 7, true);
            hear("vm-5", "b", 2, true);

            runUntil(200, false);

            assertThat(gauge("pollenhoist_store_peers", "standing", "ahead")).isEqualTo(2);
            assertThat(gauge("pollenhoist_store_peers", "standing", "level")).isEqualTo(1);
            assertThat(gauge("pollenhoist_store_peers", "standing", "behind")).isEqualTo(1);
            assertThat(gauge("pollenhoist_store_revision", "of", "own")).isEqualTo(7);
            assertThat(gauge("pollenhoist_store_revision", "of", "highest")).isEqualTo(9);
            assertThat(gauge("pollenhoist_store_era", "of", "highest")).isEqualTo(ERA);
            assertThat(gauge("pollenhoist_store_watched")).isZero();
            assertThat(gauge("pollenhoist_store_behind_seconds")).isEqualTo(0.2);
        }
    }
}
