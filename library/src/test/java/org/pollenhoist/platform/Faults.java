package org.pollenhoist.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/** The faults of a platform's service, shared by all its clients. Probabilities apply to each call. */
public final class Faults {

    private static final double LATE_DELIVERY = 0.2;

    private final double lostCalls;
    private final double lostAnswers;
    private final double lateWrites;
    private final double staleReads;
    private final int staleness;
    private final List<Supplier<WriteOutcome>> pendingWrites = new ArrayList<>();
    private boolean isDown;
    private int delivered;

    private Faults(double lostCalls, double lostAnswers, double lateWrites, double staleReads, int staleness) {
        this.lostCalls = lostCalls;
        this.lostAnswers = lostAnswers;
        this.lateWrites = lateWrites;
        this.staleReads = staleReads;
        this.staleness = staleness;
    }

    public static Faults none() {
        return new Faults(0, 0, 0, 0, 0);
    }

    public static Faults frequent() {
        return new Faults(0.05, 0.1, 0.05, 0.2, 6);
    }

    double lostCalls() {
        return lostCalls;
    }

    double lostAnswers() {
        return lostAnswers;
    }

    double lateWrites() {
        return lateWrites;
    }

    double staleReads() {
        return staleReads;
    }

    int staleness() {
        return staleness;
    }

    synchronized boolean isDown() {
        return isDown;
    }

    /** How many late writes took effect. */
    public synchronized int delivered() {
        return delivered;
    }

    public synchronized void setDown(boolean down) {
        isDown = down;
    }

    synchronized void addLateWrite(Supplier<WriteOutcome> write) {
        pendingWrites.add(write);
    }

    synchronized void deliverLateWrites(Random random) {
        if (!pendingWrites.isEmpty() && random.nextDouble() < LATE_DELIVERY) {
            WriteOutcome unheard =
                    pendingWrites.remove(random.nextInt(pendingWrites.size())).get();
            delivered += unheard instanceof WriteOutcome.Written ? 1 : 0;
        }
    }

    public synchronized void deliverAllLateWrites() {
        pendingWrites.forEach(write -> delivered += write.get() instanceof WriteOutcome.Written ? 1 : 0);
        pendingWrites.clear();
    }
}
