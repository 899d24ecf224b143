package org.pollenhoist.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RunningRequestsTest {

    private final RunningRequests running = new RunningRequests();
    private final List<String> ended = new ArrayList<>();

    @Nested
    class AbortWhereKeyIsNotInForce {

        @Test
        void should_end_the_requests_of_withdrawn_keys_only() {
            running.add("kept", reason -> ended.add("kept " + reason));
            running.add("withdrawn", reason -> ended.add("withdrawn " + reason));
            running.add("", reason -> ended.add("open route " + reason));

            int count = running.abortWhereKeyIsNotInForce("kept"::equals);

            assertThat(count).isEqualTo(1);
            assertThat(ended).containsExactly("withdrawn the key was withdrawn");
        }
    }

    @Nested
    class Add {

        @Test
        void should_end_a_request_at_once_when_its_key_was_withdrawn_since_it_was_identified() {
            running.abortWhereKeyIsNotInForce("kept"::equals);

            running.add("withdrawn", reason -> ended.add("withdrawn " + reason));

            assertThat(ended).containsExactly("withdrawn the key was withdrawn");
        }

        @Test
        void should_count_until_the_entry_is_closed() {
            RunningRequests.Entry entry = running.add("kept", ended::add);

            assertThat(running.count()).isEqualTo(1);
            entry.close();
            assertThat(running.count()).isZero();
        }
    }
}
