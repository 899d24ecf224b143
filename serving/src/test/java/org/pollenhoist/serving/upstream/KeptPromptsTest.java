package org.pollenhoist.serving.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.serving.request.PromptSegment;

class KeptPromptsTest {

    private static final MonotonicTime NOW = MonotonicTime.of(Duration.ofSeconds(100));
    private static final long MEMORY_TOKENS = 10_000;
    private static final MemoryTurnover ALONE = turnover(load(0, 0), load(0, 0));

    /** Ten requests of other VMs, which replace what they reserve every 5 s: residence is 5 s at a full memory. */
    private static final MemoryTurnover WITH_OTHERS = turnover(load(10, MEMORY_TOKENS), load(0, 0));

    private final KeptPrompts kept = new KeptPrompts();

    private static LoadSnapshot load(int running, long reservedTokens) {
        return new LoadSnapshot(running, 0, reservedTokens, NOW);
    }

    private static MemoryTurnover turnover(LoadSnapshot all, LoadSnapshot own) {
        return MemoryTurnover.of(MEMORY_TOKENS, all, own);
    }

    private static MonotonicTime after(long seconds) {
        return NOW.plus(Duration.ofSeconds(seconds));
    }

    private static List<PromptSegment> prompt(String... identifiers) {
        return Stream.of(identifiers)
                .map(identifier -> new PromptSegment(identifier, 1_000))
                .toList();
    }

    private long expected(MemoryTurnover turnover, MonotonicTime now, String... identifiers) {
        return kept.expectedTokens("m", "", prompt(identifiers), turnover, now);
    }

    @Nested
    class Chain {

        @Test
        void should_count_the_leading_parts_when_a_prompt_shares_its_beginning() {
            kept.add("m", "", prompt("a", "b", "c"), NOW);

            assertThat(expected(ALONE, NOW, "a", "b", "other")).isEqualTo(2_000);
        }

        @Test
        void should_count_nothing_when_a_part_stands_behind_another_beginning() {
            kept.add("m", "", prompt("a", "b"), NOW);

            assertThat(expected(ALONE, NOW, "b")).isZero();
            assertThat(expected(ALONE, NOW, "other", "b")).isZero();
        }

        @Test
        void should_keep_models_and_adapters_apart() {
            kept.add("m", "a1", prompt("a"), NOW);

            assertThat(expected(ALONE, NOW, "a")).isZero();
            assertThat(kept.expectedTokens("m", "a1", prompt("a"), ALONE, NOW)).isEqualTo(1_000);
            assertThat(kept.expectedTokens("other", "a1", prompt("a"), ALONE, NOW))
                    .isZero();
        }
    }

    @Nested
    class Memory {

        @Test
        void should_let_the_least_recently_used_parts_yield_when_memory_is_exceeded() {
            kept.add("m", "", prompt("old", "old tail"), NOW);
            kept.add("m", "", prompt("popular", "tail 1"), NOW);
            for (int count = 2; count <= 9; count++) {
                kept.add("m", "", prompt("popular", "tail " + count), NOW);
            }

            assertThat(expected(ALONE, NOW, "old")).isZero();
            assertThat(expected(ALONE, NOW, "popular", "tail 1")).isEqualTo(2_000);
        }

        @Test
        void should_let_a_part_yield_after_those_behind_it() {
            kept.add("m", "", prompt("a", "b", "c"), NOW);
            MemoryTurnover narrow = turnover(load(1, 8_000), load(0, 0));

            assertThat(expected(narrow, NOW, "a", "b", "c")).isEqualTo(2_000);
        }

        @Test
        void should_not_take_parts_back_when_requests_have_ended() {
            kept.add("m", "", prompt("a", "b", "c"), NOW);
            expected(turnover(load(1, 8_000), load(0, 0)), NOW, "a");

            assertThat(expected(ALONE, NOW, "a", "b", "c")).isEqualTo(2_000);
        }
    }

    @Nested
    class Age {

        @Test
        void should_expect_a_part_for_any_time_when_no_other_vm_uses_the_engine() {
            kept.add("m", "", prompt("a"), NOW);

            assertThat(expected(turnover(load(4, 4_000), load(4, 4_000)), after(600), "a"))
                    .isEqualTo(1_000);
        }

        @Test
        void should_expect_less_of_a_part_of_one_session_when_other_vms_displace_it() {
            kept.add("m", "", prompt("session"), NOW);

            assertThat(expected(WITH_OTHERS, after(2), "session")).isEqualTo(1_000);
            assertThat(expected(WITH_OTHERS, after(5), "session")).isEqualTo(500);
            assertThat(expected(WITH_OTHERS, after(8), "session")).isZero();
        }

        @Test
        void should_still_expect_a_shared_part_when_other_vms_are_likely_to_use_it() {
            for (int second = 0; second < 60; second += 10) {
                kept.add("m", "", prompt("shared", "session " + second), after(second));
            }

            assertThat(expected(WITH_OTHERS, after(60), "shared", "session 50")).isBetween(900L, 1_000L);
        }
    }

    @Nested
    class Unloading {

        private final Upstream upstream = new Upstream(description(), NOW);

        private Unloading() {
            upstream.keptPrompts().add("m", "a1", prompt("a"), NOW);
            upstream.keptPrompts().add("m", "", prompt("a"), NOW);
        }

        private static UpstreamDescription description(HeldModel... models) {
            return new UpstreamDescription(
                    "e", 1, "llm", "v1", new InetSocketAddress(1), "north", 2, false, 0, List.of(models), Set.of());
        }

        private long expected(String adapter) {
            return upstream.keptPrompts().expectedTokens("m", adapter, prompt("a"), ALONE, NOW);
        }

        @Test
        void should_drop_what_was_kept_for_an_adapter_when_it_is_unloaded() {
            upstream.replaceResidentModels(Map.of("m", Set.of("a1")));
            upstream.markMissing("m", "a1");

            assertThat(expected("a1")).isZero();
            assertThat(expected("")).isEqualTo(1_000);
        }

        @Test
        void should_drop_all_of_a_model_when_it_was_unloaded_and_is_loaded_again() {
            upstream.replaceResidentModels(Map.of("other", Set.of()));
            upstream.replaceResidentModels(Map.of("m", Set.of("a1")));

            assertThat(expected("a1") + expected("")).isZero();
        }

        @Test
        void should_drop_all_of_a_model_when_a_newer_description_lacks_it() {
            upstream.updateDescription(description(new HeldModel("m", 1, Set.of("a1"))));
            upstream.keptPrompts().add("m", "a1", prompt("a"), NOW);
            upstream.updateDescription(description());

            assertThat(expected("a1")).isZero();
        }
    }
}
