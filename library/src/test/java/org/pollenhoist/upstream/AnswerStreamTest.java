package org.pollenhoist.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

class AnswerStreamTest {

    private final List<String> observed = new ArrayList<>();
    private final List<String> received = new ArrayList<>();
    private final Source source = new Source();
    private final AnswerStream stream = AnswerStream.watch(
            source.publisher(), new Recorder(), () -> text("error event"), MonotonicTime.of(Duration.ZERO));

    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    @Nested
    class Subscribe {

        @Test
        void should_pass_parts_and_the_end_on() {
            stream.subscribe(new Receiver());

            source.subscriber.onNext(text("a"));
            source.subscriber.onNext(text("b"));
            source.subscriber.onComplete();

            assertThat(received).containsExactly("a", "b", "end");
            assertThat(observed).containsExactly("part a", "part b", "whole");
        }

        @Test
        void should_tell_the_end_of_an_empty_answer_that_came_before_there_was_a_reader() {
            source.subscriber.onComplete();

            stream.subscribe(new Receiver());

            assertThat(received).containsExactly("end");
        }

        @Test
        void should_tell_a_failure_that_came_before_there_was_a_reader() {
            source.subscriber.onError(new IllegalStateException("reset"));

            stream.subscribe(new Receiver());

            assertThat(received).containsExactly("failure reset");
            assertThat(observed).containsExactly("broken reset");
        }
    }

    @Nested
    class Abort {

        @Test
        void should_end_visibly_and_not_blame_the_upstream() {
            stream.subscribe(new Receiver());
            source.subscriber.onNext(text("a"));

            stream.abort("the key was withdrawn");
            source.subscriber.onNext(text("late"));

            assertThat(received).containsExactly("a", "error event", "failure the key was withdrawn");
            assertThat(observed).containsExactly("part a", "aborted the key was withdrawn");
            assertThat(source.isCancelled).isTrue();
        }

        @Test
        void should_change_nothing_when_the_answer_has_ended() {
            stream.subscribe(new Receiver());
            source.subscriber.onComplete();

            stream.abort("too late");

            assertThat(received).containsExactly("end");
        }
    }

    @Nested
    class Cancel {

        @Test
        void should_end_the_answer_at_the_upstream() {
            stream.cancel();

            assertThat(source.isCancelled).isTrue();
            assertThat(observed).containsExactly("cancelled");
        }
    }

    @Nested
    class WhenEnded {

        @Test
        void should_run_at_once_when_the_answer_has_ended() {
            source.subscriber.onComplete();

            stream.whenEnded(() -> observed.add("told"));

            assertThat(observed).containsExactly("whole", "told");
        }
    }

    private static final class Source {

        private Subscriber<? super ByteBuf> subscriber;
        private boolean isCancelled;

        Publisher<ByteBuf> publisher() {
            return taker -> {
                subscriber = taker;
                taker.onSubscribe(new Subscription() {
                    @Override
                    public void request(long count) {
                        // The test emits by hand.
                    }

                    @Override
                    public void cancel() {
                        isCancelled = true;
                    }
                });
            };
        }
    }

    private final class Receiver implements Subscriber<ByteBuf> {

        @Override
        public void onSubscribe(Subscription subscription) {
            subscription.request(100);
        }

        @Override
        public void onNext(ByteBuf part) {
            received.add(part.toString(StandardCharsets.UTF_8));
            part.release();
        }

        @Override
        public void onError(Throwable failure) {
            received.add("failure " + failure.getMessage());
        }

        @Override
        public void onComplete() {
            received.add("end");
        }
    }

    private final class Recorder implements AnswerStream.Observer {

        @Override
        public void onPart(ByteBuf part) {
            observed.add("part " + part.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void onWhole() {
            observed.add("whole");
        }

        @Override
        public void onBroken(String reason) {
            observed.add("broken " + reason);
        }

        @Override
        public void onCancelled() {
            observed.add("cancelled");
        }

        @Override
        public void onAborted(String reason) {
            observed.add("aborted " + reason);
        }
    }
}
