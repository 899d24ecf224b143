package org.pollenhoist.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServicePathsTest {

    @Nested
    class RequireUnambiguous {

        @ParameterizedTest
        @ValueSource(strings = {"/bookings/../admin", "/bookings/%2e%2e/admin", "/bookings%2Fadmin", "/a\\b", "/a%00"})
        void should_refuse_a_path_that_can_be_read_in_two_ways(String path) {
            assertThatThrownBy(() -> ServicePaths.requireUnambiguous(path))
                    .hasMessage("the path has dot segments, encoded separators or control characters,"
                            + " expected a plain path");
        }

        @Test
        void should_leave_a_plain_path() {
            assertThatCode(() -> ServicePaths.requireUnambiguous("/bookings/2027-05-01/alkyon..2"))
                    .doesNotThrowAnyException();
        }
    }

    @Nested
    class IsBelow {

        @Test
        void should_compare_whole_segments() {
            assertThat(ServicePaths.isBelow("/bookings", "/bookings/7")).isTrue();
            assertThat(ServicePaths.isBelow("/bookings", "/bookings")).isTrue();
            assertThat(ServicePaths.isBelow("/bookings", "/bookings-admin")).isFalse();
        }
    }
}
