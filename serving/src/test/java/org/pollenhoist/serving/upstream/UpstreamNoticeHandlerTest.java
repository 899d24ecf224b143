package org.pollenhoist.serving.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.ResponseHead;

class UpstreamNoticeHandlerTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final UpstreamTable table = new UpstreamTable();
    private final List<Upstream> told = new ArrayList<>();
    private final UpstreamNoticeHandler notices = new UpstreamNoticeHandler(table, told::add);

    @BeforeEach
    void addUpstream() {
        register(1, false);
    }

    private void register(long started, boolean isLeaving) {
        table.put(
                new UpstreamDescription(
                        "i-1", started, "app", new InetSocketAddress(1), "north", 4, isLeaving, 0, List.of(), Set.of()),
                NOW);
    }

    private Upstream upstream() {
        return table.find("i-1").orElseThrow();
    }

    private static ResponseHead leaving(int status, Optional<String> answeringUpstream) {
        return new ResponseHead(status, Optional.of("r"), true, false, answeringUpstream, true, Optional.empty());
    }

    private static ResponseHead retryAfter(Duration pause) {
        return new ResponseHead(503, Optional.of("r"), false, true, Optional.empty(), false, Optional.of(pause));
    }

    @Nested
    class Leaving {

        @Test
        void should_take_the_upstream_out_of_use_and_be_told_once() {
            notices.handleResponse("i-1", leaving(200, Optional.empty()), NOW);
            notices.handleResponse("i-1", leaving(503, Optional.of("i-1")), NOW);

            assertThat(upstream().isUsable()).isFalse();
            assertThat(told).containsExactly(upstream());
        }

        @Test
        void should_hold_whatever_the_entry_says_later() {
            notices.handleResponse("i-1", leaving(200, Optional.empty()), NOW);
            register(1, false);

            assertThat(upstream().isUsable()).isFalse();
        }

        @Test
        void should_end_with_the_lifetime() {
            notices.handleResponse("i-1", leaving(200, Optional.empty()), NOW);
            register(2, false);

            assertThat(upstream().isUsable()).isTrue();
        }

        @Test
        void should_not_be_taken_from_another_process_at_the_address() {
            notices.handleResponse("i-1", leaving(421, Optional.of("i-9")), NOW);
            notices.handleResponse("i-1", leaving(421, Optional.empty()), NOW);
            notices.handleResponse("i-1", leaving(200, Optional.of("i-9")), NOW);

            assertThat(upstream().isUsable()).isTrue();
            assertThat(told).isEmpty();
        }

        @Test
        void should_be_taken_over_from_a_peer_for_the_lifetime_that_it_names() {
            notices.handlePeerNotice("i-1", 2, "vm-2");
            assertThat(upstream().isUsable()).isTrue();

            notices.handlePeerNotice("i-1", 1, "vm-2");
            assertThat(upstream().isUsable()).isFalse();
            assertThat(told).isEmpty();
        }
    }

    @Nested
    class Pauses {

        @Test
        void should_last_as_long_as_the_upstream_asked() {
            notices.handleResponse("i-1", retryAfter(Duration.ofMillis(1_500)), NOW);

            assertThat(upstream().isBackingOff(NOW.plus(Duration.ofMillis(1_499))))
                    .isTrue();
            assertThat(upstream().isBackingOff(NOW.plus(Duration.ofMillis(1_500))))
                    .isFalse();
            assertThat(upstream().isUsable()).isTrue();
        }

        @Test
        void should_not_be_cut_short_by_a_shorter_one() {
            notices.handleResponse("i-1", retryAfter(Duration.ofSeconds(5)), NOW);
            notices.handleResponse("i-1", retryAfter(Duration.ofSeconds(1)), NOW);

            assertThat(upstream().isBackingOff(NOW.plus(Duration.ofSeconds(4)))).isTrue();
        }
    }
}
