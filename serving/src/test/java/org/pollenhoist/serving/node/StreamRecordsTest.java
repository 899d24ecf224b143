package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.serving.stream.ServiceVersions;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.serving.stream.StreamRegistry;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class StreamRecordsTest {

    private static final String SERVICE = "llm";
    private static final StreamOrigin OLD = new StreamOrigin(SERVICE, "v1");
    private static final StreamOrigin NEW = new StreamOrigin(SERVICE, "v2");
    private static final int FLEET = 9;

    private final InMemoryStore store = new InMemoryStore();
    private final Vm vm = new Vm("frontend-1", 7);

    /** The components of one process that know and record streams. */
    private final class Vm implements StreamRegistry.Announcer {

        private final UpstreamTable upstreams = new UpstreamTable();
        private final ServiceVersions versions = new ServiceVersions(upstreams, () -> 0, true);
        private final StreamRegistry registry = new StreamRegistry(versions, Optional::empty, this);
        private final StreamRecords records;

        private Vm(String name, long incarnation) {
            records = new StreamRecords(name, incarnation, store, registry);
            addUpstream("v1");
            versions.onListed(
                    SERVICE,
                    new ServiceVersions.Listing(List.of("v1"), StoreRevision.withoutEra(1), OptionalLong.of(0)),
                    at(0));
        }

        private void addUpstream(String version) {
            upstreams.put(
                    new UpstreamDescription(
                            "i-" + version,
                            1,
                            SERVICE,
                            version,
                            new InetSocketAddress(1),
                            "north",
                            4,
                            false,
                            0,
                            List.of(),
                            Set.of()),
                    at(0));
        }

        private void begin(String identifier, StreamOrigin origin, long milliseconds) {
            registry.begin(key(identifier), origin, at(milliseconds));
        }

        private void readStore(long milliseconds) {
            store.items.forEach((key, value) -> assertThat(records.onWritten(item(key, value), at(milliseconds)))
                    .isFalse());
        }

        private StreamRegistry.Resumption resume(String identifier, String service, long milliseconds) {
            return registry.resume(Optional.of(key(identifier)), service, at(milliseconds));
        }

        @Override
        public void onQuestion() {
            // There are no peers.
        }

        @Override
        public void onBeginning() {
            // There are no peers.
        }

        @Override
        public void onReading() {
            // The listed versions are not read.
        }
    }

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(100_000 + milliseconds));
    }

    private static StreamKey key(String identifier) {
        return StreamKey.of("crews", identifier);
    }

    private static StoreItem item(String key, byte[] value) {
        return new StoreItem(key, value, StoreRevision.withoutEra(1), false);
    }

    private static StreamRegistry.Resumption boundTo(StreamOrigin origin) {
        return new StreamRegistry.Resumption.Bound(origin.softwareVersion(), "known", Duration.ZERO);
    }

    @Nested
    class Write {

        @Test
        void should_not_occur_when_there_is_one_version() {
            vm.begin("request-1", OLD, 0);

            vm.records.tick(FLEET, at(1_000));

            assertThat(store.commits).isZero();
            assertThat(store.leases).isZero();
        }

        @Test
        void should_occur_once_a_stream_has_lasted_for_a_while() {
            vm.addUpstream("v2");
            vm.begin("request-1", OLD, 0);

            vm.records.tick(FLEET, at(99));
            assertThat(store.commits).isZero();
            vm.records.tick(FLEET, at(100));

            assertThat(store.items).containsOnlyKeys("pollenhoist/streams/frontend-1/7");
        }

        @Test
        void should_occur_at_most_four_times_a_second_and_for_new_streams_only() {
            vm.addUpstream("v2");
            vm.begin("request-1", OLD, 0);
            vm.records.tick(FLEET, at(200));
            vm.begin("request-2", NEW, 200);

            vm.records.tick(FLEET, at(449));
            assertThat(store.commits).isEqualTo(1);
            vm.records.tick(FLEET, at(450));
            vm.records.tick(FLEET, at(5_000));

            assertThat(store.commits).isEqualTo(2);
        }

        @Test
        void should_be_rarer_in_a_large_fleet() {
            vm.addUpstream("v2");
            vm.begin("request-1", OLD, 0);
            vm.records.tick(300, at(200));
            vm.begin("request-2", NEW, 200);

            vm.records.tick(300, at(1_699));
            assertThat(store.commits).isEqualTo(1);
            vm.records.tick(300, at(1_700));

            assertThat(store.commits).isEqualTo(2);
        }

        @Test
        void should_take_place_under_a_new_lease_each_minute() {
            vm.addUpstream("v2");
            for (int second = 0; second < 60; second++) {
                vm.begin("request-" + second, OLD, second * 1_000L);
                vm.records.tick(FLEET, at(second * 1_000L + 200));
            }
            assertThat(store.leases).isEqualTo(1);

            vm.begin("request-60", OLD, 60_000);
            vm.records.tick(FLEET, at(60_200));

            assertThat(store.leases).isEqualTo(2);
        }

        @Test
        void should_be_repeated_when_the_store_does_not_grant_a_lease() {
            vm.addUpstream("v2");
            vm.begin("request-1", OLD, 0);
            store.isUnavailable = true;
            vm.records.tick(FLEET, at(200));
            assertThat(store.items).isEmpty();

            store.isUnavailable = false;
            vm.records.tick(FLEET, at(700));

            assertThat(store.items).hasSize(1);
        }

        @Test
        void should_be_repeated_with_a_new_lease_when_the_store_has_come_back_from_an_older_copy() {
            vm.addUpstream("v2");
            InMemoryStore.Copy copy = store.copy();
            vm.begin("request-1", OLD, 0);
            vm.records.tick(FLEET, at(200));

            store.comeBackFrom(copy);
            vm.records.onNewEra();
            vm.records.tick(FLEET, at(700));

            assertThat(store.items).hasSize(1);
            assertThat(store.leases).isEqualTo(2);
        }
    }

    @Nested
    class Relay {

        @Test
        void should_leave_records_out() {
            StoreItem record = item("pollenhoist/streams/frontend-1/7", new byte[0]);
            StoreItem other = item("servers/i-1", new byte[0]);
            StoreChanges changes = new StoreChanges(
                    StoreRevision.withoutEra(9), List.of(record, other), List.of(record), false, Duration.ZERO);

            assertThat(changes.without(StreamRecords::isRecord))
                    .isEqualTo(new StoreChanges(
                            StoreRevision.withoutEra(9), List.of(other), List.of(), false, Duration.ZERO));
        }
    }

    @Nested
    class Read {

        private final Vm started = new Vm("frontend-1", 8);

        private void record() {
            vm.addUpstream("v2");
            started.addUpstream("v2");
            vm.begin("request-1", OLD, 0);
            vm.begin("request-2", NEW, 0);
            vm.records.tick(FLEET, at(200));
        }

        @Test
        void should_bind_streams_to_their_versions() {
            record();

            started.readStore(1_000);

            assertThat(started.resume("request-1", SERVICE, 1_000)).isEqualTo(boundTo(OLD));
            assertThat(started.resume("request-2", SERVICE, 1_000)).isEqualTo(boundTo(NEW));
        }

        @Test
        void should_refuse_a_stream_of_another_service() {
            record();

            started.readStore(1_000);

            assertThat(started.resume("request-1", "other", 1_000))
                    .isEqualTo(new StreamRegistry.Resumption.Refused("stream_of_other_service"));
        }

        @Test
        void should_still_find_what_the_process_before_the_last_one_recorded() {
            record();
            started.readStore(1_000);
            started.begin("request-3", NEW, 1_000);
            started.records.tick(FLEET, at(1_200));

            Vm startedAgain = new Vm("frontend-1", 9);
            startedAgain.readStore(2_000);

            assertThat(startedAgain.resume("request-1", SERVICE, 2_000)).isEqualTo(boundTo(OLD));
            assertThat(startedAgain.resume("request-3", SERVICE, 2_000)).isEqualTo(boundTo(NEW));
        }

        @Test
        void should_tell_that_a_request_waits_for_a_stream() {
            record();
            assertThat(started.resume("request-1", SERVICE, 1_000)).isEqualTo(new StreamRegistry.Resumption.Pending());

            store.items.forEach((key, value) -> assertThat(started.records.onWritten(item(key, value), at(1_010)))
                    .isTrue());
        }

        @Test
        void should_ignore_a_value_that_can_not_be_decoded() {
            assertThat(started.records.onWritten(
                            item("pollenhoist/streams/frontend-2/1", new byte[] {10, 9, 1}), at(0)))
                    .isFalse();
            assertThat(started.registry.knownStreams()).isZero();
        }
    }
}
