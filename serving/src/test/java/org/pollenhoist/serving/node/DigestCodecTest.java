package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.google.protobuf.InvalidProtocolBufferException;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.limit.FleetRateLimiter;
import org.pollenhoist.serving.placement.Leadership;
import org.pollenhoist.serving.placement.RecentWork;
import org.pollenhoist.serving.placement.VmDemand;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.upstream.LoadSnapshot;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;
import org.pollenhoist.vm.generated.DomainSummary;
import org.pollenhoist.vm.generated.ModelWant;
import org.pollenhoist.vm.generated.TeamSpending;
import org.pollenhoist.vm.generated.UpstreamLifetime;
import org.pollenhoist.vm.generated.UpstreamUse;
import org.pollenhoist.vm.generated.VmDigest;

class DigestCodecTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private static final CrashTracking CRASHES = new CrashTracking(
            "vm-1",
            () -> NOW,
            new UpstreamTable(),
            Duration.ofSeconds(1),
            new InMemoryStore(),
            new PrometheusRegistry(),
            () -> {});

    private static final long HIGHEST_FENCING_TOKEN = 51;

    private static final int LINK_MEGABITS = 140;

    private static final StoreRevision REVISION = new StoreRevision(3, 2);

    /** Space for a name of twenty characters and two numbers. */
    private static final int MAX_BYTES_PER_MODEL = 36;

    private static VmDigest write(Optional<VmDemand> demand, Optional<Leadership.Resignation> resignation)
            throws InvalidProtocolBufferException {
        VmDigest written = new DigestCodec("vm-1", "north", 5, LINK_MEGABITS)
                .write(
                        1,
                        REVISION,
                        false,
                        List.of(),
                        List.of(),
                        demand,
                        List.of(),
                        false,
                        false,
                        true,
                        List.of(),
                        resignation,
                        HIGHEST_FENCING_TOKEN,
                        CRASHES,
                        NOW);
        return VmDigest.parseFrom(written.toByteArray());
    }

    @Test
    void should_tell_the_highest_fencing_token() throws InvalidProtocolBufferException {
        assertThat(write(Optional.empty(), Optional.empty()).getHighestFencingToken())
                .isEqualTo(HIGHEST_FENCING_TOKEN);
    }

    @Nested
    class Configuration {

        private static Optional<StoreRevision> readBack(StoreRevision configuration)
                throws InvalidProtocolBufferException {
            VmDigest digest = DigestCodecTest.write(Optional.empty(), Optional.empty());
            VmDigest written = DigestCodec.withConfiguration(digest, configuration);
            return DigestCodec.configurationRevision(VmDigest.parseFrom(written.toByteArray()));
        }

        @Test
        void should_be_equal_after_writing_and_reading_when_it_is_of_the_era_of_the_store()
                throws InvalidProtocolBufferException {
            assertThat(readBack(new StoreRevision(3, 2))).contains(new StoreRevision(3, 2));
        }

        @Test
        void should_be_absent_when_it_is_of_another_era() throws InvalidProtocolBufferException {
            assertThat(readBack(new StoreRevision(2, 60))).isEmpty();
        }

        @Test
        void should_be_absent_when_there_is_none() throws InvalidProtocolBufferException {
            assertThat(readBack(StoreRevision.NONE)).isEmpty();
        }

        @Test
        void should_go_to_other_failure_domains_with_the_summary() throws InvalidProtocolBufferException {
            VmDigest digest = DigestCodec.withConfiguration(
                    DigestCodecTest.write(Optional.empty(), Optional.empty()), new StoreRevision(3, 2));

            VmDigest summary = DigestCodec.withDomainSummary(digest, DomainSummary.getDefaultInstance());

            assertThat(DigestCodec.configurationRevision(summary)).contains(new StoreRevision(3, 2));
        }
    }

    @Nested
    class Departures {

        /** What a VM may use for control each second, and the digests that it sends in it in a domain of 21 VMs. */
        private static final int MAX_CONTROL_BYTES_PER_SECOND = 16_384;

        private static final int DIGESTS_PER_SECOND = 48;

        @Test
        void should_stay_within_the_target_for_control_when_all_engines_of_a_large_fleet_are_replaced()
                throws InvalidProtocolBufferException {
            VmDigest without = DigestCodecTest.write(Optional.empty(), Optional.empty());
            UpstreamTable upstreams = new UpstreamTable();
            for (int index = 0; index < 2_200; index++) {
                upstreams.put(upstream("i-%010x".formatted(index)), NOW);
                upstreams.remove("i-%010x".formatted(index), "entry removed", NOW);
            }

            VmDigest digest = DigestCodec.withDepartures(without, upstreams.recentDepartures(NOW));

            assertThat(digest.getDepartedUpstreamsCount()).isPositive();
            assertThat((digest.getSerializedSize() - without.getSerializedSize()) * DIGESTS_PER_SECOND)
                    .isLessThanOrEqualTo(MAX_CONTROL_BYTES_PER_SECOND);
        }

        private static UpstreamDescription upstream(String name) {
            return new UpstreamDescription(
                    name,
                    1_796_662_800_000L,
                    "app",
                    "v1",
                    new InetSocketAddress(1),
                    "north",
                    4,
                    false,
                    0,
                    List.of(),
                    Set.of());
        }
    }

    private static VmDemand demandFor(int models) {
        Map<String, RecentWork> work = new HashMap<>();
        for (int model = 0; model < models; model++) {
            work.put("a-model-of-length-" + model, new RecentWork(0.75, 1.5));
        }
        return new VmDemand(work, Duration.ofMillis(2_500));
    }

    @Nested
    class Link {

        @Test
        void should_be_named_in_megabits_per_second() throws InvalidProtocolBufferException {
            assertThat(write(Optional.empty(), Optional.empty()).getLinkMegabits())
                    .isEqualTo(LINK_MEGABITS);
        }
    }

    @Nested
    class Demand {

        @Test
        void should_be_equal_after_writing_and_reading() throws InvalidProtocolBufferException {
            VmDemand demand = new VmDemand(Map.of("m", new RecentWork(0.1, 0.3)), Duration.ofMillis(2_500));

            VmDemand read = DigestCodec.demand(write(Optional.of(demand), Optional.empty()))
                    .orElseThrow();

            assertThat(read.observationTime()).isEqualTo(Duration.ofMillis(2_500));
            assertThat(read.workByModel()).containsOnlyKeys("m");
            assertThat(read.workByModel().get("m").quickSeconds()).isCloseTo(0.1, within(1e-6));
            assertThat(read.workByModel().get("m").slowSeconds()).isCloseTo(0.3, within(1e-6));
        }

        @Test
        void should_be_present_but_empty_when_there_was_no_demand() throws InvalidProtocolBufferException {
            VmDigest digest = write(Optional.of(new VmDemand(Map.of(), Duration.ZERO)), Optional.empty());

            assertThat(DigestCodec.demand(digest)).contains(new VmDemand(Map.of(), Duration.ZERO));
        }

        @Test
        void should_be_absent_when_the_digest_does_not_contain_it() throws InvalidProtocolBufferException {
            assertThat(DigestCodec.demand(write(Optional.empty(), Optional.empty())))
                    .isEmpty();
        }

        @Test
        void should_take_few_bytes_for_each_model() throws InvalidProtocolBufferException {
            int few = write(Optional.of(demandFor(10)), Optional.empty()).getSerializedSize();
            int many = write(Optional.of(demandFor(60)), Optional.empty()).getSerializedSize();

            assertThat((many - few) / 50).isLessThanOrEqualTo(MAX_BYTES_PER_MODEL);
        }
    }

    @Nested
    class Leaving {

        private final UpstreamTable upstreams = new UpstreamTable();

        private VmDigest write() throws InvalidProtocolBufferException {
            VmDigest written = new DigestCodec("vm-1", "north", 5, LINK_MEGABITS)
                    .write(
                            1,
                            REVISION,
                            false,
                            List.of(),
                            upstreams.all(),
                            Optional.empty(),
                            List.of(),
                            false,
                            false,
                            true,
                            List.of(),
                            Optional.empty(),
                            HIGHEST_FENCING_TOKEN,
                            CRASHES,
                            NOW);
            return VmDigest.parseFrom(written.toByteArray());
        }

        @Test
        void should_list_only_upstreams_that_announced_it_themselves() throws InvalidProtocolBufferException {
            upstreams.put(upstream("staying", false), NOW);
            upstreams.put(upstream("leaving-by-its-entry", true), NOW);
            upstreams.put(upstream("leaving", false), NOW);
            upstreams.find("leaving").orElseThrow().markLeaving();

            assertThat(write().getLeavingUpstreamsList())
                    .containsExactly(UpstreamLifetime.newBuilder()
                            .setUpstream("leaving")
                            .setStartedMilliseconds(7)
                            .build());
        }

        private static UpstreamDescription upstream(String name, boolean isLeaving) {
            return new UpstreamDescription(
                    name, 7, "app", "v1", new InetSocketAddress(1), "north", 4, isLeaving, 0, List.of(), Set.of());
        }
    }

    @Nested
    class Summary {

        @Test
        void should_replace_the_state_of_one_vm_by_the_sums_of_its_domain() throws InvalidProtocolBufferException {
            UpstreamTable upstreams = new UpstreamTable();
            upstreams.put(Leaving.upstream("e", false), NOW);
            Upstream engine = upstreams.find("e").orElseThrow();
            engine.begin(100, 200);
            engine.updatePeerLoad("vm-2", new LoadSnapshot(3, 1_000, 4_000, NOW));
            engine.updateDomainLoad("south", new LoadSnapshot(9, 9_000, 9_000, NOW));
            VmDigest own = write(Optional.empty(), Optional.empty()).toBuilder()
                    .addSpending(TeamSpending.newBuilder().setTeam("crews").setAdmittedTokens(20))
                    .addWants(ModelWant.newBuilder().setModel("m"))
                    .build();

            DomainSummary summary = DigestCodec.summarize(
                    7, 6, List.of(new FleetRateLimiter.Spending("crews", 500, 80)), upstreams.all(), NOW);
            VmDigest report = VmDigest.parseFrom(
                    DigestCodec.withDomainSummary(own, summary).toByteArray());

            assertThat(report.getVmName()).isEqualTo("vm-1");
            assertThat(report.getSpendingList()).isEmpty();
            assertThat(report.getWantsList()).hasSize(1);
            assertThat(report.getSummary().getHeardVms()).isEqualTo(7);
            assertThat(report.getSummary().getCurrentVms()).isEqualTo(6);
            assertThat(DigestCodec.spending(report.getSummary().getSpendingList()))
                    .containsExactly(new FleetRateLimiter.Spending("crews", 500, 80));
            assertThat(report.getSummary().getUpstreamUsesList())
                    .containsExactly(UpstreamUse.newBuilder()
                            .setUpstreamTag(engine.tag())
                            .setRunning(4)
                            .setUnreadTokens(1_100)
                            .setReservedTokens(4_200)
                            .build());
        }
    }

    @Nested
    class ReportedLoad {

        private final UpstreamTable upstreams = new UpstreamTable();

        @Test
        void should_end_when_its_source_no_longer_lists_it() {
            upstreams.put(Leaving.upstream("e", false), NOW);
            Upstream engine = upstreams.find("e").orElseThrow();
            ReportedLoads uses = new ReportedLoads(upstreams, Upstream::updatePeerLoad, Upstream::removePeerLoad);
            UpstreamUse report = UpstreamUse.newBuilder()
                    .setUpstreamTag(engine.tag())
                    .setRunning(2)
                    .build();

            uses.update("vm-2", List.of(report), NOW);
            uses.update("vm-3", List.of(report), NOW);
            assertThat(engine.load(NOW).running()).isEqualTo(4);

            uses.update("vm-2", List.of(), NOW);
            assertThat(engine.load(NOW).running()).isEqualTo(2);
        }
    }

    @Nested
    class Resignation {

        @Test
        void should_contain_the_lease_and_the_age_of_the_last_order() throws InvalidProtocolBufferException {
            MonotonicTime lastOrder = NOW.plus(Duration.ofMillis(-700));
            VmDigest digest = write(
                    Optional.empty(),
                    Optional.of(new Leadership.Resignation(new StoreRevision(3, 9), Optional.of(lastOrder))));

            MonotonicTime receivedAt = NOW.plus(Duration.ofSeconds(50));

            assertThat(DigestCodec.resignation(digest, new StoreEras(), receivedAt))
                    .contains(new Leadership.Resignation(
                            new StoreRevision(3, 9), Optional.of(receivedAt.plus(Duration.ofMillis(-700)))));
        }

        @Test
        void should_be_absent_when_the_lease_was_not_released() throws InvalidProtocolBufferException {
            assertThat(DigestCodec.resignation(write(Optional.empty(), Optional.empty()), new StoreEras(), NOW))
                    .isEmpty();
        }
    }
}
