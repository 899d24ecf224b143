package org.pollenhoist.serving.http;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.pollenhoist.common.MonotonicTime;

/**
 * Takes up requests that have been read, in their order and for a short time between two looks of the event loop at its
 * sockets. However many requests have been read, the loop then reads within that time that a caller has left, that an
 * upstream has answered or that the configuration has changed. Confined to the event loop.
 */
final class RequestIntake {

    /** Time for which requests are taken up before the event loop looks at its sockets again; at least one is. */
    static final Duration SLICE = Duration.ofMillis(50);

    private final EventLoop loop;
    private final Supplier<MonotonicTime> clock;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean isScheduled;

    /**
     * Creates an intake without requests.
     *
     * @param loop the event loop on which everything runs
     * @param clock returns the current time
     */
    RequestIntake(EventLoop loop, Supplier<MonotonicTime> clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /**
     * Adds a request that has been read.
     *
     * @param takeUp takes it up, unless its caller has left by then
     */
    void add(Runnable takeUp) {
        waiting.addLast(takeUp);
        if (!isScheduled) {
            isScheduled = true;
            loop.execute(this::takeUpSome);
        }
    }

    private void takeUpSome() {
        MonotonicTime end = clock.get().plus(SLICE);
        try {
            do {
                waiting.removeFirst().run();
            } while (!waiting.isEmpty() && clock.get().isBefore(end));
        } finally {
            continueLater();
        }
    }

    private void continueLater() {
        isScheduled = !waiting.isEmpty();
        if (isScheduled) {
            SocketLook.thenRun(loop, this::takeUpSome);
        }
    }
}
