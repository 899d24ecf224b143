package org.pollenhoist.serving.upstream;

/**
 * How soon the requests of other VMs displace what an engine keeps of prompts. This VM knows its own requests, but of
 * the others only their number and the memory that they have reserved.
 *
 * @param roomTokens tokens of kept prompts that fit beside the running requests of other VMs
 * @param residenceSeconds how long a part of a prompt stays after its last use, in seconds; infinite where no other VM
 *     sends requests to the engine
 * @param foreignUses how often other VMs use a shared part for each time that this VM does, since all choose engines
 *     by the same rules
 */
public record MemoryTurnover(long roomTokens, double residenceSeconds, double foreignUses) {

    /** How long a request typically reserves memory: a few hundred tokens of output at some ten milliseconds each. */
    private static final double REQUEST_SECONDS = 5;

    /**
     * Fraction of the memory that is always taken as room. Requests that share the beginning of their prompts reserve
     * it several times, but the engine holds it once.
     */
    private static final double MINIMUM_ROOM_FRACTION = 0.25;

    /**
     * How far, as a fraction of the residence time, a part may stay longer or shorter than expected: requests that
     * reuse parts displace less than they reserve, and the load varies.
     */
    private static final double RESIDENCE_TOLERANCE = 0.5;

    /**
     * Estimates the turnover of an engine's memory. In the mean time of a request, the others' requests replace what
     * they have reserved once. A part is safe while a request that uses it runs, and yields once as much as the
     * remaining memory has been replaced.
     *
     * @param memoryTokens number of tokens that fit into the engine's memory
     * @param all the load from all VMs
     * @param own the load from this VM alone
     * @return the turnover
     */
    public static MemoryTurnover of(long memoryTokens, LoadSnapshot all, LoadSnapshot own) {
        long foreignTokens = Math.max(0, all.reservedTokens() - own.reservedTokens());
        long room = Math.max(memoryTokens - foreignTokens, Math.round(memoryTokens * MINIMUM_ROOM_FRACTION));
        double residence =
                foreignTokens == 0 ? Double.POSITIVE_INFINITY : REQUEST_SECONDS * memoryTokens / foreignTokens;
        // One more on both sides, since this VM often has no request there while many others have one.
        double requestsPerOwn = (all.running() + 1.0) / (own.running() + 1.0);
        return new MemoryTurnover(room, residence, Math.max(0, requestsPerOwn - 1));
    }

    /**
     * Estimates how likely the engine still keeps a part that this VM has not seen displaced by its own requests.
     *
     * @param unusedSeconds time since this VM last used it, in seconds
     * @param usesPerSecond how often this VM uses it if other VMs use it too; 0 for a part of one session
     * @return 0 to 1: 1 soon after its use; later the probability that another VM has used it within the residence time
     */
    double likelihood(double unusedSeconds, double usesPerSecond) {
        if (Double.isInfinite(residenceSeconds)) {
            return 1;
        }
        double undisplaced = Math.clamp(1 + RESIDENCE_TOLERANCE - unusedSeconds / residenceSeconds, 0, 1);
        double renewed = 1 - Math.exp(-usesPerSecond * foreignUses * residenceSeconds);
        return 1 - (1 - undisplaced) * (1 - renewed);
    }
}
