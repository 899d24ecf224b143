package org.pollenhoist.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;

class IdempotencyTableTest {

    private static final IdempotencyKey KEY = new IdempotencyKey(TeamName.of("charters"), "deposit-17");
    private static final RequestFingerprint REQUEST = RequestFingerprint.of("POST", "/deposits", new byte[] {1});
    private static final RequestFingerprint OTHER = RequestFingerprint.of("POST", "/deposits", new byte[] {2});
    private static final MonotonicTime START = MonotonicTime.of(Duration.ZERO);

    private final IdempotencyTable table = new IdempotencyTable();

    private static StoredResponse response(int bytes) {
        return new StoredResponse(201, new TreeMap<>(), ByteString.copyFrom(new byte[bytes]));
    }

    private IdempotencyTicket begin() {
        return ((IdempotencyOutcome.Fresh) table.begin(KEY, REQUEST, START)).ticket();
    }

    @Nested
    class Begin {

        @Test
        void should_let_a_key_run_once() {
            begin();
            assertThat(table.begin(KEY, REQUEST, START)).isInstanceOf(IdempotencyOutcome.Running.class);
        }

        @Test
        void should_refuse_the_key_when_it_comes_with_another_request() {
            begin();
            assertThat(table.begin(KEY, OTHER, START)).isEqualTo(new IdempotencyOutcome.OtherRequest());
        }

        @Test
        void should_distinguish_keys_of_different_teams() {
            begin();
            IdempotencyKey sameText = new IdempotencyKey(TeamName.of("florists"), "deposit-17");
            assertThat(table.begin(sameText, REQUEST, START)).isInstanceOf(IdempotencyOutcome.Fresh.class);
        }

        @Test
        void should_let_a_key_run_again_when_its_retention_has_ended() {
            table.finish(begin(), response(1), START);
            MonotonicTime later = START.plus(IdempotencyTable.REMEMBERED).plus(Duration.ofMillis(1));
            assertThat(table.begin(KEY, REQUEST, later)).isInstanceOf(IdempotencyOutcome.Fresh.class);
        }
    }

    @Nested
    class Finish {

        @Test
        void should_return_the_response_to_repeats_and_complete_waiting_ones() {
            IdempotencyTicket ticket = begin();
            CompletableFuture<IdempotencyOutcome> waiting =
                    ((IdempotencyOutcome.Running) table.begin(KEY, REQUEST, START)).end();
            table.finish(ticket, response(3), START);
            assertThat(waiting).isCompletedWithValue(new IdempotencyOutcome.Finished(response(3)));
            assertThat(table.begin(KEY, REQUEST, START)).isEqualTo(new IdempotencyOutcome.Finished(response(3)));
        }

        @Test
        void should_not_run_again_when_the_response_is_too_large_to_store() {
            table.finish(begin(), response(17 * 1024), START);
            assertThat(table.begin(KEY, REQUEST, START)).isEqualTo(new IdempotencyOutcome.AnswerForgotten());
        }

        @Test
        void should_evict_the_oldest_responses_above_the_limit_but_keep_their_keys() {
            table.finish(begin(), response(16 * 1024), START);
            for (int number = 0; number < 256; number++) {
                IdempotencyKey key = new IdempotencyKey(TeamName.of("charters"), "further-" + number);
                IdempotencyOutcome.Fresh fresh = (IdempotencyOutcome.Fresh) table.begin(key, REQUEST, START);
                table.finish(fresh.ticket(), response(16 * 1024), START);
            }
            assertThat(table.begin(KEY, REQUEST, START)).isEqualTo(new IdempotencyOutcome.AnswerForgotten());
        }
    }

    @Nested
    class Fail {

        @Test
        void should_let_a_repeat_run_when_it_is_proved_that_it_did_not_run() {
            table.fail(begin(), true, START);
            assertThat(table.begin(KEY, REQUEST, START)).isInstanceOf(IdempotencyOutcome.Fresh.class);
        }

        @Test
        void should_never_run_again_when_the_outcome_is_unknown() {
            IdempotencyTicket ticket = begin();
            table.fail(ticket, false, START);
            table.fail(ticket, true, START);
            assertThat(table.begin(KEY, REQUEST, START)).isEqualTo(new IdempotencyOutcome.Unknown());
        }

        @Test
        void should_ignore_the_end_of_an_earlier_run() {
            IdempotencyTicket earlier = begin();
            table.fail(earlier, true, START);
            begin();
            table.fail(earlier, true, START);
            assertThat(table.begin(KEY, REQUEST, START)).isInstanceOf(IdempotencyOutcome.Running.class);
        }
    }
}
