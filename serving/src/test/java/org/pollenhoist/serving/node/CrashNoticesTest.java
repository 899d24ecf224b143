package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.request.CrashNotice;
import org.pollenhoist.request.RequestFingerprint;
import org.pollenhoist.request.UpstreamLifetime;

class CrashNoticesTest {

    private final List<CrashNotice> activeVerdicts = new ArrayList<>();
    private final CrashNotices notices = new CrashNotices(now -> activeVerdicts);

    private static MonotonicTime at(long milliseconds) {
        return MonotonicTime.of(Duration.ofMillis(milliseconds));
    }

    private static CrashNotice notice(int number, boolean isVerdict) {
        return new CrashNotice(
                RequestFingerprint.of("POST", "/" + number, new byte[0]),
                Set.of(new UpstreamLifetime(UpstreamName.of("i-1"), 1)),
                Optional.empty(),
                false,
                isVerdict,
                Duration.ofMinutes(1));
    }

    @Nested
    class Next {

        @Test
        void should_repeat_all_active_verdicts_in_rotation() {
            for (int number = 0; number < 10; number++) {
                activeVerdicts.add(notice(number, true));
            }
            Set<CrashNotice> announced = new HashSet<>();
            for (int digest = 0; digest < 3; digest++) {
                announced.addAll(notices.next(at(600_000)));
            }
            assertThat(announced).containsExactlyInAnyOrderElementsOf(activeVerdicts);
        }

        @Test
        void should_include_a_new_notice_in_each_digest_for_two_seconds() {
            notices.add(notice(1, false), at(0));
            assertThat(notices.next(at(0))).hasSize(1);
            assertThat(notices.next(at(1_999))).hasSize(1);
            assertThat(notices.next(at(2_000))).isEmpty();
        }

        @Test
        void should_report_new_notices_only_for_two_seconds_and_never_for_verdicts() {
            activeVerdicts.add(notice(1, true));
            assertThat(notices.hasNewNotices(at(0))).isFalse();
            notices.add(notice(2, false), at(0));
            assertThat(notices.hasNewNotices(at(0))).isTrue();
            assertThat(notices.hasNewNotices(at(2_000))).isFalse();
        }
    }
}
