package org.pollenhoist.placement;

import java.util.Set;
import java.util.TreeSet;
import org.pollenhoist.common.ModelName;

/** An engine as a decision round plans it. Working state of one round, used by one thread. */
final class EngineDraft {

    private final UpstreamState state;
    private final double sequenceCapacity;
    private final TreeSet<ModelName> copies = new TreeSet<>();
    private final TreeSet<ModelName> occupied = new TreeSet<>();
    private long freeBytes;
    private long bytesBeingFreed;
    private double load;

    EngineDraft(UpstreamState state, double sequenceCapacity) {
        this.state = state;
        this.sequenceCapacity = sequenceCapacity;
        this.freeBytes = state.ledger().capacityBytes();
    }

    UpstreamState state() {
        return state;
    }

    /** The models whose copy here is counted on: answering or being loaded, and not to be unloaded. */
    Set<ModelName> copies() {
        return copies;
    }

    /** The models that take memory here, also those on their way out. */
    Set<ModelName> occupied() {
        return occupied;
    }

    long freeBytes() {
        return freeBytes;
    }

    long bytesBeingFreed() {
        return bytesBeingFreed;
    }

    void takeBytes(long bytes) {
        freeBytes -= bytes;
    }

    void freeLater(long bytes) {
        bytesBeingFreed += bytes;
    }

    void takeBytesBeingFreed(long bytes) {
        long fromFree = Math.max(0, Math.min(bytes, freeBytes));
        freeBytes -= fromFree;
        bytesBeingFreed -= bytes - fromFree;
    }

    double load() {
        return load;
    }

    void clearLoad() {
        load = 0;
    }

    void addLoad(double sequences) {
        load += sequences;
    }

    double spareSequences() {
        return sequenceCapacity - load;
    }
}
