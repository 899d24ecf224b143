package org.pollenhoist.request;

import java.time.Duration;
import java.util.Set;
import org.pollenhoist.common.UpstreamName;

/** Whether a request may run, in view of the upstreams that crashed under requests like it. */
public sealed interface Admission {

    /** It may run anywhere. */
    record Unrestricted() implements Admission {}

    /**
     * It is suspect and may run once more, as the only request of its kind in the fleet.
     *
     * @param number tells the trials of one process apart
     * @param excluded the upstreams that crashed under it
     */
    record Trial(long number, Set<UpstreamName> excluded) implements Admission {

        /** Copies the set. */
        public Trial {
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * It is suspect, and a trial is about to be allowed: ask again after a while.
     *
     * @param delay how long to wait
     */
    record AskAgain(Duration delay) implements Admission {}

    /**
     * It is suspect and can't be tried now, since it is being tried elsewhere or only one copy is left. It is refused
     * as not run.
     *
     * @param retryAfter when to come back
     */
    record Refused(Duration retryAfter) implements Admission {}

    /**
     * It made upstreams crash and is not run again.
     *
     * @param remaining how long this holds
     */
    record Quarantined(Duration remaining) implements Admission {}
}
