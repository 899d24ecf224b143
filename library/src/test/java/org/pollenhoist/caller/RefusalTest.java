package org.pollenhoist.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.ErrorCode;

class RefusalTest {

    private final Refusal refusal =
            Refusal.notRunRetryAfter(ErrorCode.RATE_LIMITED, "the rate is used up", Duration.ofMillis(1_200));

    @Nested
    class Body {

        @Test
        void should_hold_code_sentence_proof_and_time_to_come_back() {
            assertThat(new String(refusal.body(), StandardCharsets.UTF_8))
                    .isEqualTo("{\"error\":{\"code\":\"rate_limited\",\"type\":\"rate_limited\","
                            + "\"message\":\"the rate is used up\",\"not_run\":true,\"retry_after_seconds\":1.2}}");
        }
    }

    @Nested
    class RetryAfterHeader {

        @Test
        void should_round_up_to_whole_seconds() {
            assertThat(refusal.retryAfterHeader()).hasValue("2");
        }
    }
}
