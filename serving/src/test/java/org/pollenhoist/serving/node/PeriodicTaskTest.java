package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.pollenhoist.common.MonotonicTime;

class PeriodicTaskTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));

    private final List<MonotonicTime> taken = new ArrayList<>();

    /** The virtual machine throws its own exceptions without a stack trace once it has thrown them often. */
    private static RuntimeException withoutStackTrace() {
        RuntimeException failure = new NullPointerException();
        failure.setStackTrace(new StackTraceElement[0]);
        return failure;
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException("odd state"),
                withoutStackTrace(),
                new StackOverflowError(),
                new NoClassDefFoundError("odd class"));
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    @Nested
    class Running {

        @Test
        void should_take_each_step_at_the_present_time() {
            new PeriodicTask(() -> NOW, List.of(taken::add, taken::add)).run();

            assertThat(taken).containsExactly(NOW, NOW);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.PeriodicTaskTest#failures")
        void should_go_on_when_the_first_step_fails(Throwable failure) {
            PeriodicTask task = new PeriodicTask(() -> NOW, List.of(now -> fail(failure), taken::add));

            task.run();
            task.run();

            assertThat(taken).containsExactly(NOW, NOW);
        }

        @ParameterizedTest
        @MethodSource("org.pollenhoist.serving.node.PeriodicTaskTest#failures")
        void should_go_on_when_the_last_step_fails(Throwable failure) {
            PeriodicTask task = new PeriodicTask(() -> NOW, List.of(taken::add, now -> fail(failure)));

            task.run();
            task.run();

            assertThat(taken).containsExactly(NOW, NOW);
        }
    }
}
