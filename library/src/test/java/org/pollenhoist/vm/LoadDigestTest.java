package org.pollenhoist.vm;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.routing.PollerAssignment;
import org.pollenhoist.routing.UpstreamReport;
import org.pollenhoist.vm.generated.Frame;
import org.pollenhoist.vm.generated.LoadDigest;

class LoadDigestTest {

    private static final MonotonicTime START = MonotonicTime.of(Duration.ZERO);

    private static UpstreamReport report(int number, int models) {
        Set<ModelName> resident = IntStream.range(0, models)
                .mapToObj(model -> ModelName.of("model-" + model + "-of-harbour"))
                .collect(Collectors.toSet());
        return new UpstreamReport(
                UpstreamName.of("scribe-" + number),
                number * 0x9e3779b97f4a7c15L,
                24,
                7,
                40_000_000_000L,
                resident,
                Set.of(AdapterName.of("catch-report-greek")),
                false,
                Duration.ofMillis(180));
    }

    private static List<LoadDigestWriter.Polled> polled(int upstreams, int models) {
        return IntStream.range(0, upstreams)
                .mapToObj(number -> new LoadDigestWriter.Polled(report(number, models), START))
                .toList();
    }

    @Nested
    class Read {

        @Test
        void should_give_back_what_was_written_with_the_age_at_sending() {
            LoadDigest digest = new LoadDigestWriter().write(polled(1, 3), START.plus(Duration.ofMillis(20)));
            UpstreamReport sent = report(0, 3);
            assertThat(new LoadDigestReader().read(digest))
                    .containsExactly(new UpstreamReport(
                            sent.upstream(),
                            sent.incarnation(),
                            24,
                            7,
                            40_000_000_000L,
                            sent.models(),
                            sent.adapters(),
                            false,
                            Duration.ofMillis(200)));
        }

        @Test
        void should_fill_in_residents_when_they_were_left_out() {
            LoadDigestWriter writer = new LoadDigestWriter();
            LoadDigestReader reader = new LoadDigestReader();
            for (int round = 0; round < 5; round++) {
                List<UpstreamReport> reports = reader.read(writer.write(polled(1, 3), START));
                assertThat(reports.getFirst().models()).hasSize(3);
            }
        }

        @Test
        void should_leave_out_an_upstream_whose_residents_are_not_known() {
            LoadDigestWriter writer = new LoadDigestWriter();
            writer.write(polled(1, 3), START);
            writer.write(polled(1, 3), START);
            assertThat(new LoadDigestReader().read(writer.write(polled(1, 3), START)))
                    .isEmpty();
        }
    }

    @Nested
    class Size {

        /** The four sizes of failure domains: today's of both deployments, a third of the target, and the target. */
        @ParameterizedTest
        @CsvSource({"3, 5, 10", "2, 4, 10", "7, 46, 12", "21, 138, 12"})
        void should_fit_half_of_a_nodes_control_bytes(int vms, int upstreams, int models) {
            int rounds = 320;
            long bytesReceived = 0;
            for (int vm = 0; vm < vms; vm++) {
                int share = upstreams / vms + (vm < upstreams % vms ? 1 : 0);
                LoadDigestWriter writer = new LoadDigestWriter();
                for (int round = 0; round < rounds; round++) {
                    LoadDigest digest = writer.write(polled(share, models), START);
                    Frame frame = Frame.newBuilder().setLoadDigest(digest).build();
                    bytesReceived += frame.getSerializedSize() + 2 + 66;
                }
            }
            double seconds =
                    rounds * PollerAssignment.digestInterval(vms, upstreams).toMillis() / 1e3;
            double bytesPerSecond = 2 * bytesReceived / seconds;
            System.out.printf(
                    "load_digest vms=%d upstreams=%d interval_ms=%d bytes_per_second=%.0f%n",
                    vms,
                    upstreams,
                    PollerAssignment.digestInterval(vms, upstreams).toMillis(),
                    bytesPerSecond);
            assertThat(bytesPerSecond).isLessThan(8 * 1_024);
        }
    }
}
