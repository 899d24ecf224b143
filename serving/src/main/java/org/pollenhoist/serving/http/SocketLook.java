package org.pollenhoist.serving.http;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Runs tasks after an event loop has looked at its sockets once more. */
final class SocketLook {

    private SocketLook() {}

    /**
     * Runs a task once the event loop has read all that its sockets hold at its next look, closed connections too. A
     * task that is executed runs before that look, a scheduled one after it even if it is due at once.
     *
     * @param loop the event loop, which calls this method
     * @param task the task
     */
    static void thenRun(EventLoop loop, Runnable task) {
        Future<?> unused = loop.schedule(task, 0, TimeUnit.NANOSECONDS);
    }
}
