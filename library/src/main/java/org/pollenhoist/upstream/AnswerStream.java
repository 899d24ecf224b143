package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of an answer on its way to the caller, watched: how it goes on, how it ends, and ended from outside where a
 * key is withdrawn, a deadline passes or the upstream stalls.
 *
 * <p>All methods run on the event loop of the request.
 */
public final class AnswerStream implements Publisher<ByteBuf> {

    /** Learns how an answer goes on. Exactly one of the four endings is told. */
    public interface Observer {

        /**
         * A part has arrived.
         *
         * @param part the part, to be read without moving its indexes
         */
        void onPart(ByteBuf part);

        /** The answer has ended whole. */
        void onWhole();

        /**
         * The answer broke off.
         *
         * @param reason what was seen
         */
        void onBroken(String reason);

        /** The caller has gone. */
        void onCancelled();

        /**
         * This process ended the answer.
         *
         * @param reason why
         */
        void onAborted(String reason);
    }

    private final Observer observer;

    private final Supplier<ByteBuf> errorPart;

    private Subscriber<? super ByteBuf> downstream;

    private Subscription upstream;

    private long outstandingDemand;

    private boolean isEnded;

    private MonotonicTime lastProgress;

    private Throwable earlyFailure;

    private final List<Runnable> whenEnded = new ArrayList<>();

    private AnswerStream(Observer observer, Supplier<ByteBuf> errorPart, MonotonicTime now) {
        this.observer = observer;
        this.errorPart = errorPart;
        this.lastProgress = now;
    }

    /**
     * Watches a body, from now on: also the end of one that has no reader yet is noticed.
     *
     * @param source the body
     * @param observer learns how it goes on
     * @param errorPart makes the last part of an answer that broke off, so that its reader sees the error
     * @param now the present time
     * @return the watched body, for one subscriber
     */
    public static AnswerStream watch(
            Publisher<? extends ByteBuf> source, Observer observer, Supplier<ByteBuf> errorPart, MonotonicTime now) {
        AnswerStream watched = new AnswerStream(observer, errorPart, now);
        source.subscribe(watched.new Relay());
        return watched;
    }

    /**
     * Runs an action once the answer has ended in any way, at once where it has ended already.
     *
     * @param action the action
     */
    public void whenEnded(Runnable action) {
        if (isEnded) {
            action.run();
            return;
        }
        whenEnded.add(action);
    }

    /**
     * Returns when the upstream was last seen to make progress, or was last not waited for.
     *
     * @return the time, never before the latest moment at which the caller itself was the slower side
     */
    public MonotonicTime lastProgress() {
        return lastProgress;
    }

    /**
     * Tells whether the reader waits for the upstream.
     *
     * @return false where the caller reads slowly or the answer has ended
     */
    public boolean isWaitingForUpstream() {
        return !isEnded && outstandingDemand > 0;
    }

    /**
     * Ends the answer visibly: the caller gets the error part, then the connection's end.
     *
     * @param reason why
     */
    public void abort(String reason) {
        if (isEnded) {
            return;
        }
        if (upstream != null) {
            upstream.cancel();
        }
        isEnded = true;
        observer.onAborted(reason);
        whenEnded.forEach(Runnable::run);
        endVisibly(new AnswerBrokenException(reason));
    }

    /** Ends the answer since its reader has gone; the upstream is told by the end of its connection. */
    public void cancel() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        if (upstream != null) {
            upstream.cancel();
        }
        observer.onCancelled();
        whenEnded.forEach(Runnable::run);
    }

    private void breakOff(Throwable failure) {
        isEnded = true;
        observer.onBroken(String.valueOf(failure.getMessage()));
        whenEnded.forEach(Runnable::run);
        endVisibly(failure);
    }

    private void endVisibly(Throwable failure) {
        if (downstream == null) {
            earlyFailure = failure;
            return;
        }
        downstream.onNext(errorPart.get());
        downstream.onError(failure);
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> subscriber) {
        downstream = subscriber;
        subscriber.onSubscribe(new Demand());
        if (earlyFailure != null) {
            subscriber.onError(earlyFailure);
        } else if (isEnded) {
            subscriber.onComplete();
        }
    }

    private final class Demand implements Subscription {

        @Override
        public void request(long count) {
            if (isEnded) {
                return;
            }
            if (outstandingDemand == 0) {
                lastProgress = MonotonicTime.read();
            }
            outstandingDemand += count;
            upstream.request(count);
        }

        @Override
        public void cancel() {
            AnswerStream.this.cancel();
        }
    }

    private final class Relay implements Subscriber<ByteBuf> {

        @Override
        public void onSubscribe(Subscription subscription) {
            upstream = subscription;
        }

        @Override
        public void onNext(ByteBuf part) {
            if (isEnded) {
                part.release();
                return;
            }
            outstandingDemand--;
            lastProgress = MonotonicTime.read();
            observer.onPart(part);
            downstream.onNext(part);
        }

        @Override
        public void onError(Throwable failure) {
            if (!isEnded) {
                breakOff(failure);
            }
        }

        @Override
        public void onComplete() {
            if (!isEnded) {
                isEnded = true;
                observer.onWhole();
                whenEnded.forEach(Runnable::run);
                if (downstream != null) {
                    downstream.onComplete();
                }
            }
        }
    }
}
