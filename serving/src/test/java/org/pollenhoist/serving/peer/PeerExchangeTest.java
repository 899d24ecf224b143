package org.pollenhoist.serving.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.vm.generated.VmDigest;

class PeerExchangeTest {

    private static final InetSocketAddress SENDER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7_600);
    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final List<Long> applied = new ArrayList<>();
    private final PeerExchange exchange =
            new PeerExchange((bytes, receivers) -> {}, () -> NOW, "vm-1", this::apply, streams -> {});

    private void apply(PeerReport report) {
        if (report.digest().getSequence() == 1) {
            throw new IllegalArgumentException("odd digest");
        }
        applied.add(report.digest().getSequence());
    }

    private static byte[] digest(long sequence) {
        return VmDigest.newBuilder()
                .setVmName("vm-2")
                .setIncarnation(1)
                .setSequence(sequence)
                .build()
                .toByteArray();
    }

    @Nested
    class Receiving {

        @Test
        void should_go_on_with_the_next_digest_when_one_can_not_be_applied() {
            exchange.receive(digest(1), SENDER);
            exchange.receive(digest(2), SENDER);

            assertThat(applied).containsExactly(2L);
            assertThat(exchange.recentReports(NOW)).hasSize(1);
        }

        @Test
        void should_ignore_a_digest_that_is_older_than_the_newest_one() {
            exchange.receive(digest(3), SENDER);
            exchange.receive(digest(2), SENDER);

            assertThat(applied).containsExactly(3L);
        }
    }
}
