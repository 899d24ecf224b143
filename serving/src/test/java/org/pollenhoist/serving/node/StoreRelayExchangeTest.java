package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.http.BufferedHttpClient.Result;
import org.pollenhoist.serving.peer.PeerExchange;
import org.pollenhoist.serving.store.StoreEras;
import org.pollenhoist.serving.store.StoreItem;
import org.pollenhoist.serving.store.StoreListener;
import org.pollenhoist.serving.store.StoreMirror;
import org.pollenhoist.vm.generated.StoreRelay;
import org.pollenhoist.vm.generated.VmDigest;

class StoreRelayExchangeTest {

    private static final int TICK_MILLISECONDS = 50;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final StoreEras eras = new StoreEras();
    private final PeerExchange peers =
            new PeerExchange((datagram, receivers) -> {}, () -> this.now, "vm-1", report -> {}, datagram -> {});
    private final List<Consumer<Result>> calls = new ArrayList<>();
    private MonotonicTime now = MonotonicTime.of(Duration.ofSeconds(100));
    private StoreMirror mirror;
    private StoreRelayExchange exchange;
    private long sequence;

    @BeforeEach
    void start() {
        mirror = new StoreMirror(loop, () -> now, new InMemoryStore(), new NoListener(), () -> Duration.ZERO);
        exchange = new StoreRelayExchange(
                (target, request, timeout, callback) -> {
                    request.release();
                    calls.add(callback);
                },
                peers,
                new RelaySources("north", "vm-1"),
                mirror,
                eras,
                () -> now);
    }

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    private void hear(String vm, long revision) {
        VmDigest digest = VmDigest.newBuilder()
                .setVmName(vm)
                .setFailureDomain("north")
                .setSequence(++sequence)
                .setStoreRevision(revision)
                .setStoreEra(1)
                .setFollowsStore(true)
                .build();
        peers.receive(digest.toByteArray(), new InetSocketAddress(InetAddress.getLoopbackAddress(), 7));
    }

    /** Runs the periodic task of a VM that doesn't watch, while a peer says that it is ahead. */
    private void run(Duration duration) {
        MonotonicTime end = now.plus(duration);
        while (now.isBefore(end)) {
            now = now.plus(Duration.ofMillis(TICK_MILLISECONDS));
            hear("vm-2", 9);
            exchange.tick(false, now);
        }
    }

    private void answer(StoreRelay relay) {
        calls.remove(0).accept(new Result.Answered(200, new DefaultHttpHeaders(), relay.toByteArray()));
    }

    private record NoListener() implements StoreListener {

        @Override
        public void onWritten(StoreItem item) {
            // Only the mirror's revision is looked at.
        }

        @Override
        public void onRemoved(String key) {
            // Only the mirror's revision is looked at.
        }

        @Override
        public void onListed() {
            // Only the mirror's revision is looked at.
        }

        @Override
        public boolean mayBeRewritten(String key) {
            return false;
        }
    }

    @Nested
    class Lag {

        @Test
        void should_begin_when_relays_have_not_begun_to_come_in_time() {
            for (int relay = 0; relay < 2; relay++) {
                run(Duration.ofMillis(500));
                calls.remove(0).accept(new Result.Failed(true, "no response within 450 ms"));
            }

            assertThat(exchange.isLagging(now)).isTrue();
        }

        @Test
        void should_not_begin_while_a_large_relay_comes() {
            run(Duration.ofMillis(2_500));

            assertThat(calls).hasSize(1);
            assertThat(exchange.isLagging(now)).isFalse();
        }

        @Test
        void should_begin_when_a_relay_does_not_end() {
            run(Duration.ofSeconds(4));

            assertThat(exchange.isLagging(now)).isTrue();
        }

        @Test
        void should_begin_when_relays_bring_nothing_new() {
            for (int relay = 0; relay < 20; relay++) {
                run(Duration.ofMillis(TICK_MILLISECONDS));
                answer(StoreRelay.newBuilder().setRevision(0).setEra(1).build());
            }

            assertThat(exchange.isLagging(now)).isTrue();
        }
    }

    @Nested
    class Reply {

        @Test
        void should_be_taken_from_an_earlier_build_that_does_not_compress() {
            run(Duration.ofMillis(TICK_MILLISECONDS));
            answer(StoreRelay.newBuilder()
                    .setRevision(9)
                    .setEra(1)
                    .setIsWhole(true)
                    .build());

            assertThat(mirror.revision().number()).isEqualTo(9);
        }

        @Test
        void should_be_a_failure_when_it_is_malformed() {
            run(Duration.ofMillis(TICK_MILLISECONDS));
            DefaultHttpHeaders headers = new DefaultHttpHeaders();
            headers.set("Content-Encoding", "gzip");
            calls.remove(0).accept(new Result.Answered(200, headers, new byte[] {1, 2, 3}));
            run(Duration.ofMillis(TICK_MILLISECONDS));

            assertThat(mirror.revision().number()).isZero();
            assertThat(calls).hasSize(1);
        }
    }
}
