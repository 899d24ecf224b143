package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.UpstreamLifetime;
import org.pollenhoist.serving.segment.SegmentCrash;
import org.pollenhoist.serving.segment.SegmentKey;
import org.pollenhoist.serving.segment.SegmentStatement;

class SegmentStatementCodecTest {

    private static final UpstreamLifetime CRASHED = new UpstreamLifetime(UpstreamName.of("i-1"), 17);
    private static final UpstreamLifetime LIVE = new UpstreamLifetime(UpstreamName.of("i-2"), 18);

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static SegmentStatement statement(long offset) {
        return new SegmentStatement(
                new SegmentKey("engines", "a1"),
                List.of(new SegmentCrash(CRASHED, at(offset + 100), at(offset + 250))),
                Set.of(LIVE.tag()),
                Optional.of(at(offset + 900)));
    }

    @Nested
    class FromMessage {

        @Test
        void should_convert_times_to_the_clock_of_the_receiver() {
            var message = SegmentStatementCodec.toMessage(statement(0), at(500));

            assertThat(SegmentStatementCodec.fromMessage(message, at(70_500))).isEqualTo(statement(70_000));
        }

        @Test
        void should_fail_when_a_name_has_another_form() {
            var message = SegmentStatementCodec.toMessage(statement(0), at(500)).toBuilder();
            message.getCrashesBuilder(0).getLifetimeBuilder().setUpstream("no such name!");

            assertThatThrownBy(() -> SegmentStatementCodec.fromMessage(message.build(), at(500)))
                    .isInstanceOf(PollenhoistException.class);
        }
    }
}
