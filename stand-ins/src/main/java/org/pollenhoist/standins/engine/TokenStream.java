package org.pollenhoist.standins.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Publishes the parts of an answer as they come. All state is touched on the connection's event loop only. */
final class TokenStream implements Publisher<ByteBuf> {

    private final EventLoop eventLoop;
    private final Queue<String> parts = new ArrayDeque<>();
    private Subscriber<? super ByteBuf> subscriber;
    private long demand;
    private boolean isComplete;
    private boolean isOver;

    TokenStream(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    void send(String part) {
        eventLoop.execute(() -> {
            parts.add(part);
            drain();
        });
    }

    void complete() {
        eventLoop.execute(() -> {
            isComplete = true;
            drain();
        });
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
        newSubscriber.onSubscribe(new Subscription() {
            @Override
            public void request(long count) {
                eventLoop.execute(() -> {
                    subscriber = newSubscriber;
                    demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
                    drain();
                });
            }

            @Override
            public void cancel() {
                eventLoop.execute(() -> isOver = true);
            }
        });
    }

    private void drain() {
        while (!isOver && subscriber != null && demand > 0 && !parts.isEmpty()) {
            demand--;
            subscriber.onNext(Unpooled.copiedBuffer(parts.remove(), StandardCharsets.UTF_8));
        }
        if (!isOver && subscriber != null && isComplete && parts.isEmpty()) {
            isOver = true;
            subscriber.onComplete();
        }
    }
}
