package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.store.StoreChanges;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreListener;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.serving.store.StoreRevision;
import org.pollenhoist.vm.generated.StoreRelay;

class StoreRelayServerTest {

    private static final Duration LONG_AGO = Duration.ofHours(1);
    private static final String EARLIER_BUILD = "/relay?after=5&era=1";
    private static final String CURRENT_BUILD = EARLIER_BUILD + "&compression=gzip";

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private final StoreMirror mirror =
            new StoreMirror(loop, () -> now, new InMemoryStore(), new NoListener(), () -> Duration.ZERO);
    private final StoreRelayServer server = new StoreRelayServer(mirror, () -> now);

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void write(long revision, byte[] value) {
        StoreItem item = new StoreItem("op/config", value, new StoreRevision(1, revision), false);
        mirror.applyPeerChanges(
                new StoreChanges(new StoreRevision(1, revision), List.of(item), List.of(), true, LONG_AGO));
    }

    private static byte[] routes(int count) {
        StringBuilder text = new StringBuilder();
        for (int route = 0; route < count; route++) {
            text.append("{\"name\":\"r-%06d\",\"pathPrefix\":\"/jisy%d/\",\"service\":\"wucu2a\",\"timeoutMs\":5000},"
                    .formatted(route, route * 7919));
        }
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] incompressible(int bytes) {
        byte[] value = new byte[bytes];
        new Random(1).nextBytes(value);
        return value;
    }

    private static StoreRelay read(StoreRelayServer.Relay relay) throws IOException {
        byte[] plain = relay.isCompressed() ? RelayCompression.decompress(relay.bytes()) : relay.bytes();
        return StoreRelay.parseFrom(plain);
    }

    private record NoListener() implements StoreListener {

        @Override
        public void onWritten(StoreItem item) {
            // Only the mirror is looked at.
        }

        @Override
        public void onRemoved(String key) {
            // Only the mirror is looked at.
        }

        @Override
        public void onListed() {
            // Only the mirror is looked at.
        }

        @Override
        public boolean mayBeRewritten(String key) {
            return false;
        }
    }

    @Nested
    class Compression {

        @Test
        void should_carry_a_configuration_of_900_routes_in_a_fifth_of_its_size() throws IOException {
            byte[] configuration = routes(900);
            write(7, configuration);

            StoreRelayServer.Relay relay = server.begin(CURRENT_BUILD).orElseThrow();

            assertThat(relay.bytes().length).isLessThan(configuration.length / 5);
            assertThat(read(relay).getItems(0).getValue().toByteArray()).isEqualTo(configuration);
        }

        @Test
        void should_not_be_sent_to_earlier_builds() throws IOException {
            byte[] configuration = routes(900);
            write(7, configuration);

            StoreRelayServer.Relay relay = server.begin(EARLIER_BUILD).orElseThrow();

            assertThat(relay.isCompressed()).isFalse();
            assertThat(StoreRelay.parseFrom(relay.bytes())
                            .getItems(0)
                            .getValue()
                            .toByteArray())
                    .isEqualTo(configuration);
        }

        @Test
        void should_name_the_current_revision_when_a_relay_was_sent_just_before() throws IOException {
            write(7, routes(100));
            server.end(server.begin(CURRENT_BUILD).orElseThrow());
            write(8, routes(101));

            assertThat(read(server.begin(CURRENT_BUILD).orElseThrow()).getRevision())
                    .isEqualTo(8);
        }

        @Test
        void should_not_be_read_beyond_the_size_of_a_relay() {
            byte[] tooLarge = RelayCompression.compress(new byte[RelayCompression.MAXIMUM_BYTES + 1]);

            assertThatThrownBy(() -> RelayCompression.decompress(tooLarge))
                    .isInstanceOf(IOException.class)
                    .hasMessage("relay of more than 8388608 bytes");
        }
    }

    @Nested
    class BytesAtOnce {

        @Test
        void should_send_a_relay_of_the_largest_value_alone() {
            write(7, incompressible(1 << 20));

            Optional<StoreRelayServer.Relay> first = server.begin(CURRENT_BUILD);

            assertThat(first).isPresent();
            assertThat(server.begin(CURRENT_BUILD)).isEmpty();
            server.end(first.orElseThrow());
            assertThat(server.begin(CURRENT_BUILD)).isPresent();
        }

        @Test
        void should_send_a_small_relay_beside_the_largest() {
            write(7, incompressible(1 << 20));
            assertThat(server.begin(CURRENT_BUILD)).isPresent();
            write(8, incompressible(4 << 10));

            assertThat(server.begin("/relay?after=7&era=1&compression=gzip")).isPresent();
        }

        @Test
        void should_send_small_relays_to_all_vms_of_a_failure_domain_at_once() {
            write(7, incompressible(4 << 10));

            for (int vm = 0; vm < 20; vm++) {
                assertThat(server.begin(CURRENT_BUILD)).isPresent();
            }
        }
    }
}
