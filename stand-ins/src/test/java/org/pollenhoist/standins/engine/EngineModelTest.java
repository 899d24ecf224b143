package org.pollenhoist.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.standins.engine.EngineModel.Submission;
import org.pollenhoist.standins.engine.EngineModel.Token;
import org.pollenhoist.standins.engine.EngineOrder.Answer;
import org.pollenhoist.standins.engine.EngineReport.OrderStatus;
import org.pollenhoist.standins.engine.EngineReport.Resident;

class EngineModelTest {

    private final EngineModel model = new EngineModel(settings(), "first");

    @Nested
    class Batching {

        @Test
        void should_run_the_most_urgent_sequence_next_when_a_place_becomes_free() {
            model.submit(submission("first", 1, 5), millis(0));
            model.submit(submission("late", 1, 1), millis(0));
            model.submit(submission("urgent", 1, 9), millis(0));

            List<Token> tokens = model.advance(millis(1000));

            assertThat(tokens).extracting(Token::identifier).containsExactly("first", "urgent", "late");
        }

        @Test
        void should_give_tokens_at_their_times_when_time_advances_in_steps() {
            model.submit(submission("a", 3, 5), millis(0));

            assertThat(model.advance(millis(9))).isEmpty();
            assertThat(model.advance(millis(10))).containsExactly(new Token("a", 0, false));
            assertThat(model.advance(millis(14))).containsExactly(new Token("a", 1, false), new Token("a", 2, true));
        }
    }

    @Nested
    class Orders {

        @Test
        void should_refuse_a_load_when_memory_does_not_suffice() {
            assertThat(model.order(load("o1", 1, "scribe", 80), millis(0))).isEqualTo(new Answer.Accepted("o1"));

            assertThat(model.order(load("o2", 1, "berth", 21), millis(0))).isEqualTo(new Answer.NoMemory(20));
        }

        @Test
        void should_refuse_an_order_when_its_fencing_number_is_old() {
            model.order(load("o1", 7, "scribe", 10), millis(0));

            assertThat(model.order(load("o2", 6, "berth", 10), millis(0))).isEqualTo(new Answer.OldFencing(7));
        }

        @Test
        void should_keep_a_model_until_its_sequences_end_when_it_is_unloaded() {
            model.order(load("o1", 1, "scribe", 10), millis(0));
            model.advance(millis(200));
            model.submit(submission("a", 10, 5), millis(200));
            model.order(new EngineOrder("o2", 1, "unload", "model", "scribe", "1", 10), millis(200));

            assertThat(model.advance(millis(220))).hasSize(6);
            assertThat(model.residents()).containsExactly(new Resident("model", "scribe", "1", 10, "unloading"));
            assertThat(model.advance(millis(1000))).hasSize(4);

            assertThat(model.residents()).isEmpty();
        }
    }

    @Nested
    class Reports {

        @Test
        void should_show_the_state_of_earlier_when_reports_lag() {
            model.order(load("o1", 1, "scribe", 10), millis(0));
            model.advance(millis(101));

            EngineReport early = model.report(false, millis(120));
            EngineReport later = model.report(false, millis(160));

            assertThat(early.orders()).containsExactly(new OrderStatus("o1", "running"));
            assertThat(later.orders()).containsExactly(new OrderStatus("o1", "done"));
            assertThat(later.ageMillis()).isEqualTo(50);
        }
    }

    @Nested
    class Cache {

        @Test
        void should_answer_sooner_and_publish_late_when_a_prefix_is_known() {
            model.submit(submission("a", 1, 5), millis(0));
            model.advance(millis(10));
            model.submit(submission("b", 1, 5), millis(10));

            assertThat(model.advance(millis(13))).containsExactly(new Token("b", 0, true));
            assertThat(model.cacheEvents(0, millis(13))).isEmpty();
            assertThat(model.cacheEvents(0, millis(30)))
                    .containsExactly(new CacheEvent(1, "scribe", "prefix", "stored"));
        }
    }

    private static Submission submission(String identifier, int tokens, int priority) {
        return new Submission(identifier, "scribe", "prefix", tokens, priority);
    }

    private static EngineOrder load(String identifier, long fencing, String name, long bytes) {
        return new EngineOrder(identifier, fencing, "load", "model", name, "1", bytes);
    }

    private static EngineSettings settings() {
        return new EngineSettings(
                "engine",
                millis(10),
                millis(3),
                millis(2),
                1,
                100,
                100,
                Duration.ZERO,
                millis(50),
                millis(30),
                0,
                10,
                true);
    }

    private static Duration millis(long milliseconds) {
        return Duration.ofMillis(milliseconds);
    }
}
