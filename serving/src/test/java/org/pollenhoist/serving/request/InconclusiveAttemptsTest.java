package org.pollenhoist.serving.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.VmName;
import org.pollenhoist.request.Admission;
import org.pollenhoist.request.CrashQuarantine;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.serving.segment.SegmentQuarantine;
import org.pollenhoist.serving.upstream.Upstream;
import org.pollenhoist.serving.upstream.UpstreamDescription;
import org.pollenhoist.serving.upstream.UpstreamTable;

class InconclusiveAttemptsTest {

    private static final RequestFingerprint REQUEST = RequestFingerprint.of("GET", "/lookup/1", "crews", new byte[0]);

    private static final CrashEvidence EVIDENCE = new CrashEvidence(REQUEST, List.of(), at(0));

    private final CrashQuarantine quarantine = new CrashQuarantine(VmName.of("vm-1"), notice -> {});
    private final SegmentQuarantine segments = new SegmentQuarantine(VmName.of("vm-1"), () -> {});
    private final InconclusiveAttempts attempts = new InconclusiveAttempts(new CrashRecorder(quarantine, segments));
    private final UpstreamTable upstreams =
            new UpstreamTable(upstream -> attempts.upstreamEnded(upstream, at(milliseconds())));
    private long now;

    private long milliseconds() {
        return now;
    }

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private Upstream register(long started, boolean isLeaving) {
        upstreams.put(
                new UpstreamDescription(
                        "i-1",
                        started,
                        "app",
                        "v1",
                        new InetSocketAddress(1),
                        "north",
                        4,
                        isLeaving,
                        0,
                        List.of(),
                        Set.of()),
                at(0));
        return upstreams.find("i-1").orElseThrow();
    }

    private boolean isSuspected() {
        return !(quarantine.admit(REQUEST, without -> 9, at(now)) instanceof Admission.Unrestricted);
    }

    @Nested
    class UpstreamEnded {

        @Test
        void should_suspect_a_request_when_it_was_cancelled_before_its_upstream_ended() {
            attempts.add(EVIDENCE, register(1, false), at(1_000));
            now = 5_000;
            upstreams.remove("i-1", "entry removed", at(now));
            assertThat(isSuspected()).isTrue();
        }

        @Test
        void should_suspect_a_request_when_its_upstream_restarts_under_the_same_identifier() {
            attempts.add(EVIDENCE, register(1, false), at(1_000));
            now = 5_000;
            register(2, false);
            assertThat(isSuspected()).isTrue();
        }

        @Test
        void should_suspect_a_request_when_it_is_cancelled_after_its_upstream_ended() {
            Upstream upstream = register(1, false);
            upstreams.remove("i-1", "entry removed", at(now));
            attempts.add(EVIDENCE, upstream, at(1_000));
            assertThat(isSuspected()).isTrue();
        }

        @Test
        void should_not_suspect_a_request_when_its_upstream_has_responded_long_after_it() {
            Upstream upstream = register(1, false);
            attempts.add(EVIDENCE, upstream, at(1_000));
            upstream.recordActivity(at(4_000));
            now = 5_000;
            upstreams.remove("i-1", "entry removed", at(now));
            assertThat(isSuspected()).isFalse();
        }

        @Test
        void should_not_suspect_a_request_when_its_upstream_leaves_as_planned() {
            attempts.add(EVIDENCE, register(1, false), at(1_000));
            register(1, true);
            now = 5_000;
            upstreams.remove("i-1", "entry removed", at(now));
            assertThat(isSuspected()).isFalse();
        }
    }
}
