package org.pollenhoist.serving.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestRateShareTest {

    private static List<Double> shares(double limitPerSecond, int vms) {
        List<String> names =
                IntStream.range(0, vms).mapToObj(number -> "vm-" + number).toList();
        return names.stream()
                .map(vm -> RequestRateShare.of(
                        "i-1",
                        limitPerSecond,
                        vm,
                        names.stream().filter(other -> !other.equals(vm)).toList()))
                .toList();
    }

    @Nested
    class Of {

        @ParameterizedTest
        @CsvSource({"0, 9", "0.1, 9", "1, 1", "1.2, 9", "1.7, 19", "20, 19", "500, 95"})
        void should_sum_up_to_the_limit_over_all_vms(double limitPerSecond, int vms) {
            double sum = shares(limitPerSecond, vms).stream()
                    .mapToDouble(share -> share)
                    .sum();

            assertThat(sum).isCloseTo(limitPerSecond, within(1e-9));
        }

        @ParameterizedTest
        @CsvSource({"0.1, 9, 1", "0.5, 9, 2", "1, 9, 4", "1.7, 9, 5", "20, 95, 24", "500, 95, 95"})
        void should_be_held_by_fewer_vms_the_lower_the_limit(double limitPerSecond, int vms, long holders) {
            assertThat(shares(limitPerSecond, vms).stream().filter(share -> share > 0))
                    .hasSize((int) holders);
        }
    }
}
