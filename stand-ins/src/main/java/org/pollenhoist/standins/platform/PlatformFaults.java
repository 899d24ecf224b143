package org.pollenhoist.standins.platform;

import java.util.Set;

/**
 * The faults in force, as sent to {@code PUT /faults}; absent members mean no fault.
 *
 * @param outage whether and how all calls fail; absent for not at all
 * @param lostAnswers the answers of how many next writes are lost after the write took effect, -1 for all
 * @param lostAnswerManner how such an answer is lost; absent for a closed connection
 * @param delayMilliseconds how long each answer is held back
 * @param cutDomains the failure domains whose calls get no answer
 * @param staleLists whether lists answer with the values of the moment at which this fault began
 */
public record PlatformFaults(
        Outage outage,
        long lostAnswers,
        Manner lostAnswerManner,
        long delayMilliseconds,
        Set<String> cutDomains,
        boolean staleLists) {

    /** Fills in what is absent. */
    public PlatformFaults {
        outage = outage == null ? Outage.NONE : outage;
        lostAnswerManner = lostAnswerManner == null ? Manner.CLOSE : lostAnswerManner;
        cutDomains = cutDomains == null ? Set.of() : Set.copyOf(cutDomains);
    }

    /**
     * Returns the state without faults.
     *
     * @return no faults
     */
    public static PlatformFaults none() {
        return new PlatformFaults(Outage.NONE, 0, Manner.CLOSE, 0, Set.of(), false);
    }

    /**
     * Returns these faults after one more answer was lost.
     *
     * @return the faults that remain
     */
    PlatformFaults afterLostAnswer() {
        long remaining = lostAnswers > 0 ? lostAnswers - 1 : lostAnswers;
        return new PlatformFaults(outage, remaining, lostAnswerManner, delayMilliseconds, cutDomains, staleLists);
    }

    /** How calls fail during an outage. */
    public enum Outage {
        /** They don't. */
        NONE,
        /** They get 503. */
        UNAVAILABLE,
        /** They get no answer. */
        SILENT
    }

    /** How an answer is lost. */
    public enum Manner {
        /** The connection closes. */
        CLOSE,
        /** The connection stays open and silent. */
        SILENCE
    }
}
