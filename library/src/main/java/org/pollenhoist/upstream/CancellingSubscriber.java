package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Ends an answer that nobody wants, which closes its connection. */
final class CancellingSubscriber implements Subscriber<ByteBuf> {

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.cancel();
    }

    @Override
    public void onNext(ByteBuf part) {
        part.release();
    }

    @Override
    public void onError(Throwable failure) {
        // Nobody waits for this answer.
    }

    @Override
    public void onComplete() {
        // Nobody waits for this answer.
    }
}
