package org.pollenhoist.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;

class CompletionReaderTest {

    private static CallerRequest.ModelCall read(String body) {
        return CompletionReader.read("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    class Read {

        @Test
        void should_bound_the_tokens_by_prompt_and_wanted_completion() {
            CallerRequest.ModelCall call =
                    read("{\"model\":\"scribe\",\"prompt\":\"0123456789abcd\",\"max_tokens\":100,\"n\":2}");

            assertThat(call.promptTokens()).isEqualTo(4);
            assertThat(call.tokenBound()).isEqualTo(4 + 2 * 100);
        }

        @Test
        void should_state_a_bound_in_the_forwarded_body_when_the_caller_gives_none() {
            CallerRequest.ModelCall call = read("{\"model\":\"scribe\",\"messages\":[]}");

            assertThat(new String(call.body(), StandardCharsets.UTF_8)).contains("\"max_tokens\":1024");
            assertThat(call.completionTokens()).isEqualTo(1024);
        }

        @Test
        void should_split_model_and_adapter() {
            CallerRequest.ModelCall call = read("{\"model\":\"scribe:greek\",\"prompt\":\"x\"}");

            assertThat(call.model()).isEqualTo(ModelName.of("scribe"));
            assertThat(call.adapter()).isEqualTo(Optional.of(AdapterName.of("greek")));
        }

        @Test
        void should_say_what_is_allowed_when_a_number_is_not() {
            assertThatThrownBy(() -> read("{\"model\":\"scribe\",\"prompt\":\"x\",\"max_tokens\":-3}"))
                    .hasMessage("max_tokens is -3, expected a whole number from 1 to 1000000");
        }

        @Test
        void should_say_what_is_missing_when_there_is_no_prompt() {
            assertThatThrownBy(() -> read("{\"model\":\"scribe\"}")).hasMessage("neither messages nor prompt is given");
        }

        @Test
        void should_refuse_a_body_that_is_no_json() {
            assertThatThrownBy(() -> read("model=scribe"))
                    .hasMessageStartingWith("the body is not JSON: Unrecognized token 'model'");
        }
    }
}
