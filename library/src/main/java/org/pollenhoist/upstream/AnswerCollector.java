package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;

/** Gathers an answer that is passed on only when it is whole. */
public final class AnswerCollector implements Subscriber<ByteBuf> {

    private final int maximumBytes;

    private final Downstream<? super byte[]> downstream;

    private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();

    private Subscription subscription;

    private boolean isEnded;

    private AnswerCollector(int maximumBytes, Downstream<? super byte[]> downstream) {
        this.maximumBytes = maximumBytes;
        this.downstream = downstream;
    }

    /**
     * Gathers a body.
     *
     * @param body the body
     * @param maximumBytes the most it may hold
     * @return its bytes; fails where it breaks off or holds more
     */
    public static Promise<byte[]> collect(Publisher<ByteBuf> body, int maximumBytes) {
        return Promise.async(downstream -> body.subscribe(new AnswerCollector(maximumBytes, downstream)));
    }

    @Override
    public void onSubscribe(Subscription started) {
        subscription = started;
        started.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(ByteBuf part) {
        try {
            append(part);
        } catch (IOException impossible) {
            throw new IllegalStateException("writing to memory failed", impossible);
        } finally {
            part.release();
        }
    }

    private void append(ByteBuf part) throws IOException {
        if (isEnded) {
            return;
        }
        if (gathered.size() + part.readableBytes() > maximumBytes) {
            isEnded = true;
            subscription.cancel();
            downstream.error(new AnswerBrokenException("the answer holds more than " + maximumBytes + " bytes"));
            return;
        }
        part.getBytes(part.readerIndex(), gathered, part.readableBytes());
    }

    @Override
    public void onError(Throwable failure) {
        if (!isEnded) {
            isEnded = true;
            downstream.error(failure);
        }
    }

    @Override
    public void onComplete() {
        if (!isEnded) {
            isEnded = true;
            downstream.success(gathered.toByteArray());
        }
    }
}
