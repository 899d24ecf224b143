package org.pollenhoist.serving.node;

import java.util.function.BooleanSupplier;

/**
 * Bytes on their way from one link to another. They go in segments of which only a few are on the way at a time; the
 * next one leaves when one has come. So transfers that meet in a link share it equally, whatever their sizes, and one
 * that nobody wants any longer soon stops spending it. Slow starts, losses and headers of packets aren't modelled.
 */
final class SimulatedTransfer {

    private static final int SEGMENT_BYTES = 4 << 10;

    /** Sixteen KiB together, about what a TCP connection sends before its first acknowledgement. */
    private static final int SEGMENTS_ON_THE_WAY = 4;

    private final SimulatedClock clock;
    private final SimulatedLink from;
    private final SimulatedLink to;
    private final long delayMilliseconds;
    private final long bytes;
    private final BooleanSupplier isWanted;
    private final Runnable whole;
    private Runnable begun = () -> {};
    private Runnable stopped = () -> {};
    private boolean isStopped;
    private long sentBytes;
    private long receivedBytes;

    private SimulatedTransfer(
            SimulatedClock clock,
            SimulatedLink from,
            SimulatedLink to,
            long delayMilliseconds,
            long bytes,
            BooleanSupplier isWanted,
            Runnable whole) {
        this.clock = clock;
        this.from = from;
        this.to = to;
        this.delayMilliseconds = delayMilliseconds;
        this.bytes = bytes;
        this.isWanted = isWanted;
        this.whole = whole;
    }

    /**
     * Begins a transfer.
     *
     * @param delayMilliseconds how long each segment takes apart from the links
     * @param bytes the size, 1 or more
     * @param isWanted whether to go on sending; what is on the way by then still arrives
     * @param whole runs when the last byte has come
     */
    static SimulatedTransfer begin(
            SimulatedClock clock,
            SimulatedLink from,
            SimulatedLink to,
            long delayMilliseconds,
            long bytes,
            BooleanSupplier isWanted,
            Runnable whole) {
        SimulatedTransfer transfer = new SimulatedTransfer(clock, from, to, delayMilliseconds, bytes, isWanted, whole);
        if (from.isLimited() || to.isLimited()) {
            for (int segment = 0; segment < SEGMENTS_ON_THE_WAY; segment++) {
                transfer.sendSegment();
            }
        } else {
            clock.after(delayMilliseconds, () -> transfer.receive(bytes));
        }
        return transfer;
    }

    /** Begins a transfer that nobody can stop. */
    static void begin(
            SimulatedClock clock,
            SimulatedLink from,
            SimulatedLink to,
            long delayMilliseconds,
            long bytes,
            Runnable whole) {
        begin(clock, from, to, delayMilliseconds, bytes, () -> true, whole);
    }

    private void sendSegment() {
        long segment = Math.min(SEGMENT_BYTES, bytes - sentBytes);
        if (segment == 0 || isStopped) {
            return;
        }
        if (!isWanted.getAsBoolean()) {
            isStopped = true;
            stopped.run();
            return;
        }
        sentBytes += segment;
        long sending = from.outgoing().carry(segment, clock.milliseconds());
        clock.after(sending + delayMilliseconds, () -> {
            long receiving = to.incoming().carry(segment, clock.milliseconds());
            clock.after(receiving, () -> receive(segment));
        });
    }

    private void receive(long segment) {
        boolean isFirst = receivedBytes == 0;
        receivedBytes += segment;
        if (isFirst && receivedBytes < bytes) {
            begun.run();
        }
        if (receivedBytes == bytes) {
            whole.run();
        } else {
            sendSegment();
        }
    }

    /** Sets what runs when the first bytes have come, unless these are all. */
    void whenBegun(Runnable action) {
        begun = action;
    }

    /** Sets what runs when the sender finds that nobody wants the rest. */
    void whenStopped(Runnable action) {
        stopped = action;
    }

    long receivedBytes() {
        return receivedBytes;
    }
}
