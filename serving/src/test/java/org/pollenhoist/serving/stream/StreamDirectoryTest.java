package org.pollenhoist.serving.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

class StreamDirectoryTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final StreamKey KEY = StreamKey.of("crews", "request-1");
    private static final StreamOrigin OLD = new StreamOrigin("llm", "v1");
    private static final StreamOrigin NEW = new StreamOrigin("llm", "v2");

    private final StreamDirectory directory = new StreamDirectory();

    @Nested
    class Find {

        @Test
        void should_return_the_origin_of_a_stream_that_began_here_or_at_a_peer() {
            directory.begin(KEY, OLD, NOW);
            directory.learn(StreamKey.of("crews", "request-2"), NEW, NOW);

            assertThat(directory.find(KEY, NOW)).contains(OLD);
            assertThat(directory.find(StreamKey.of("crews", "request-2"), NOW)).contains(NEW);
        }

        @Test
        void should_return_nothing_for_the_identifier_of_another_team() {
            directory.begin(KEY, OLD, NOW);

            assertThat(directory.find(StreamKey.of("agencies", "request-1"), NOW))
                    .isEmpty();
        }

        @Test
        void should_return_nothing_when_one_identifier_began_streams_of_two_versions() {
            directory.begin(KEY, OLD, NOW);
            directory.learn(KEY, NEW, NOW);

            assertThat(directory.find(KEY, NOW)).isEmpty();
        }

        @Test
        void should_return_the_origin_until_callers_have_given_up() {
            directory.begin(KEY, OLD, NOW);

            assertThat(directory.find(KEY, NOW.plus(Duration.ofSeconds(59)))).contains(OLD);
            assertThat(directory.find(KEY, NOW.plus(Duration.ofSeconds(60)))).isEmpty();
        }

        @Test
        void should_return_the_origin_of_a_whole_stream_for_a_short_time() {
            directory.begin(KEY, OLD, NOW);
            directory.end(KEY, NOW);

            assertThat(directory.find(KEY, NOW.plus(Duration.ofSeconds(4)))).contains(OLD);
            assertThat(directory.find(KEY, NOW.plus(Duration.ofSeconds(5)))).isEmpty();
        }
    }

    @Nested
    class TakeUnannounced {

        @Test
        void should_return_each_running_stream_of_this_vm_once() {
            directory.begin(KEY, OLD, NOW);
            directory.learn(StreamKey.of("crews", "request-2"), OLD, NOW);
            directory.begin(StreamKey.of("crews", "request-3"), OLD, NOW);
            directory.end(StreamKey.of("crews", "request-3"), NOW);

            assertThat(directory.takeUnannounced(service -> true)).containsOnlyKeys(KEY);
            assertThat(directory.takeUnannounced(service -> true)).isEmpty();
        }

        @Test
        void should_keep_streams_of_other_services_until_they_are_asked_for() {
            directory.begin(KEY, OLD, NOW);

            assertThat(directory.takeUnannounced(service -> false)).isEmpty();
            assertThat(directory.takeUnannounced(service -> true)).containsOnlyKeys(KEY);
        }
    }

    @Nested
    class Running {

        private static final Duration AGE = Duration.ofMillis(150);

        private Set<StreamKey> running(MonotonicTime now) {
            return directory.running(service -> true, AGE, now).keySet();
        }

        @Test
        void should_return_streams_of_this_vm_from_the_given_age() {
            directory.begin(KEY, OLD, NOW);
            directory.learn(StreamKey.of("crews", "request-2"), NEW, NOW);

            assertThat(running(NOW.plus(AGE.minusMillis(1)))).isEmpty();
            assertThat(running(NOW.plus(AGE))).containsExactly(KEY);
        }

        @Test
        void should_leave_out_streams_that_have_ended() {
            directory.begin(KEY, OLD, NOW);
            directory.end(KEY, NOW.plus(AGE));

            assertThat(running(NOW.plus(AGE))).isEmpty();
        }

        @Test
        void should_leave_out_an_identifier_of_streams_of_two_versions() {
            directory.begin(KEY, OLD, NOW);
            directory.learn(KEY, NEW, NOW);

            assertThat(running(NOW.plus(AGE))).isEmpty();
        }

        @Test
        void should_leave_out_other_services() {
            directory.begin(KEY, OLD, NOW);

            assertThat(directory.running(service -> false, AGE, NOW.plus(AGE))).isEmpty();
        }
    }

    @Nested
    class Expire {

        @Test
        void should_discard_streams_that_no_caller_resumes() {
            directory.begin(KEY, OLD, NOW);

            directory.expire(NOW.plus(Duration.ofSeconds(60)));

            assertThat(directory.size()).isZero();
            assertThat(directory.takeUnannounced(service -> true)).isEmpty();
        }
    }
}
