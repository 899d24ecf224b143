package org.pollenhoist.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.standins.platform.PlatformState.WriteResult;

class PlatformStateTest {

    private static final Duration START = Duration.ZERO;

    private final PlatformState state = new PlatformState();

    @Nested
    class Write {

        @Test
        void should_report_the_standing_version_when_another_one_was_expected() {
            write("a", 0, Optional.empty(), START);

            assertThat(write("a", 0, Optional.empty(), START)).isEqualTo(new WriteResult.Conflict(1));
            assertThat(write("a", 1, Optional.empty(), START)).isEqualTo(new WriteResult.Written(2));
        }

        @Test
        void should_refuse_a_value_when_it_is_too_large() {
            byte[] content = new byte[PlatformState.MAXIMUM_VALUE_BYTES + 1];

            assertThat(state.write("a", 0, content, Optional.empty(), START))
                    .isEqualTo(new WriteResult.TooLarge(content.length));
        }
    }

    @Nested
    class Leases {

        @Test
        void should_remove_tied_values_when_a_lease_ends() {
            String lease = state.grantLease(Duration.ofSeconds(1), START);
            write("a", 0, Optional.of(lease), START);
            long revision = state.revisionBelow("a", START);

            Duration end = Duration.ofSeconds(1);

            assertThat(state.read("a", end)).isEmpty();
            assertThat(state.revisionBelow("a", end)).isGreaterThan(revision);
            assertThat(state.renewLease(lease, end)).isFalse();
            assertThat(write("a", 0, Optional.of(lease), end)).isEqualTo(new WriteResult.LeaseEnded(lease));
        }

        @Test
        void should_keep_a_value_when_a_later_write_took_it_out_of_the_lease() {
            String lease = state.grantLease(Duration.ofSeconds(1), START);
            write("a", 0, Optional.of(lease), START);
            write("a", 1, Optional.empty(), START);

            assertThat(state.read("a", Duration.ofSeconds(2))).isPresent();
        }
    }

    private WriteResult write(String key, long expectedVersion, Optional<String> lease, Duration now) {
        return state.write(key, expectedVersion, "x".getBytes(StandardCharsets.UTF_8), lease, now);
    }
}
