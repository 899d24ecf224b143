package org.pollenhoist.request;

import java.time.Duration;
import java.util.Set;
import org.pollenhoist.common.UpstreamName;

/** The decision whether a request may run, based on the upstreams that crashed while executing the same request. */
public sealed interface Admission {

    /** The request is not suspect and may run on any upstream. */
    record Unrestricted() implements Admission {}

    /**
     * The request is suspect and may run once more; no other VM runs the same request meanwhile.
     *
     * @param number identifies the trial within this process
     * @param excluded the upstreams that crashed while executing the request
     */
    record Trial(long number, Set<UpstreamName> excluded) implements Admission {

        /** Copies the set. */
        public Trial {
            excluded = Set.copyOf(excluded);
        }
    }

    /**
     * The request is suspect, and this VM has claimed its trial: call {@link CrashQuarantine#admit} again after the
     * delay.
     *
     * @param delay the time to wait
     */
    record AskAgain(Duration delay) implements Admission {}

    /**
     * The request is suspect and can't run now, since its trial is running or claimed, or only one copy of its model is
     * left. The caller is told that it did not run.
     *
     * @param retryAfter the time after which the caller may retry
     */
    record Refused(Duration retryAfter) implements Admission {}

    /**
     * The request crashed upstreams and is not run again.
     *
     * @param remaining how long the quarantine lasts, unless the request is repeated
     */
    record Quarantined(Duration remaining) implements Admission {}
}
