package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.placement.ModelRequest;

class RequestQueueTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final RequestQueue queue = new RequestQueue();
    private final List<Long> started = new ArrayList<>();
    private int freeSlots;

    private final class TestRequest implements RequestQueue.QueuedRequest {

        private final int priority;
        private final long number;

        private TestRequest(int priority, long number) {
            this.priority = priority;
            this.number = number;
        }

        @Override
        public int priority() {
            return priority;
        }

        @Override
        public long number() {
            return number;
        }

        @Override
        public Optional<ModelRequest> modelRequest() {
            return Optional.of(new ModelRequest("s", "m" + number, ""));
        }

        @Override
        public boolean tryStart(MonotonicTime now) {
            if (freeSlots == 0) {
                return false;
            }
            freeSlots--;
            started.add(number);
            return true;
        }
    }

    @Nested
    class StartingAll {

        /** A burst occupies all engines, and then one slot after another becomes free. */
        @Test
        void should_start_requests_by_priority_and_arrival_when_slots_become_free() {
            queue.add(new TestRequest(1, 1));
            queue.add(new TestRequest(1, 2));
            queue.add(new TestRequest(0, 3));
            queue.add(new TestRequest(2, 4));
            for (int round = 0; round < 4; round++) {
                freeSlots = 1;
                queue.tryStartAll(NOW);
            }

            assertThat(started).containsExactly(3L, 1L, 2L, 4L);
            assertThat(queue.size()).isZero();
        }

        @Test
        void should_keep_a_request_when_it_can_not_start() {
            queue.add(new TestRequest(1, 1));

            queue.tryStartAll(NOW);

            assertThat(queue.size()).isEqualTo(1);
            assertThat(queue.modelRequests()).containsExactly(new ModelRequest("s", "m1", ""));
        }
    }
}
