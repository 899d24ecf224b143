package org.pollenhoist.entry;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.request.DrainBounds;
import org.pollenhoist.request.DrainPhase;
import org.pollenhoist.request.DrainSequence;
import org.pollenhoist.settings.ShutdownSettings;

/** Walks an entry process through its planned stop. */
final class PlannedStop {

    private static final long STEP_MILLISECONDS = 20;

    private static final Duration LONGEST_CLOSING = Duration.ofSeconds(1);

    private static final Duration LONGEST_HAND_OVER = Duration.ofSeconds(2);

    /** Closing and handing over each take at most this part of the time that operators set for draining. */
    private static final int PARTS_OF_DRAIN = 10;

    private volatile DrainSequence sequence;

    private final IntSupplier running;

    private final BooleanSupplier isHandedOver;

    private final Consumer<DrainPhase> onEnter;

    PlannedStop(
            ShutdownSettings settings,
            IntSupplier running,
            BooleanSupplier isHandedOver,
            Consumer<DrainPhase> onEnter,
            MonotonicTime now) {
        this.sequence = DrainSequence.serving(bounds(settings), now);
        this.running = running;
        this.isHandedOver = isHandedOver;
        this.onEnter = onEnter;
    }

    private static DrainBounds bounds(ShutdownSettings settings) {
        Duration part = settings.drain().dividedBy(PARTS_OF_DRAIN);
        Duration closing = shorter(LONGEST_CLOSING, part);
        Duration handingOver = shorter(LONGEST_HAND_OVER, part);
        Duration draining = settings.drain().minus(closing).minus(handingOver);
        return new DrainBounds(settings.unready(), closing, handingOver, draining, draining, settings.grace());
    }

    private static Duration shorter(Duration left, Duration right) {
        return left.compareTo(right) < 0 ? left : right;
    }

    DrainPhase phase() {
        return sequence.phase();
    }

    /** Runs the whole stop on the calling thread. */
    void run() throws InterruptedException {
        enter(sequence.stop(MonotonicTime.read()));
        while (sequence.phase() != DrainPhase.STOPPED) {
            Thread.sleep(STEP_MILLISECONDS);
            DrainSequence.Work work = new DrainSequence.Work(running.getAsInt(), 0, isHandedOver.getAsBoolean());
            enter(sequence.advance(work, MonotonicTime.read()));
        }
    }

    private void enter(DrainSequence next) {
        boolean isNewPhase = next.phase() != sequence.phase();
        sequence = next;
        if (isNewPhase) {
            onEnter.accept(next.phase());
        }
    }
}
