package org.pollenhoist.serving.store;

import io.netty.channel.DefaultEventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Runs what was scheduled when it is told to. */
final class ManualEventLoop extends DefaultEventLoop {

    private final List<Runnable> scheduled = new ArrayList<>();

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        scheduled.add(command);
        return null;
    }

    void runScheduled() {
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }
}
