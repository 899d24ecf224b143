package org.pollenhoist.serving.routing;

import java.time.Duration;
import org.pollenhoist.serving.upstream.Upstream;

/** What is to be done with a request now. */
public sealed interface Selection {

    /**
     * It goes to an upstream.
     *
     * @param upstream the upstream
     * @param expectedWait estimated time to its first token
     * @param reason why this one, for the log
     */
    record Send(Upstream upstream, Duration expectedWait, String reason) implements Selection {}

    /**
     * It waits here.
     *
     * @param reason for what, for the log
     * @param needsPlacement whether no upstream holds its model or adapter
     */
    record Wait(String reason, boolean needsPlacement) implements Selection {}

    /**
     * It can't be answered in time.
     *
     * @param reason why, for the log and the caller
     * @param retryAfter when it could be, as far as is known
     */
    record Refuse(String reason, Duration retryAfter) implements Selection {}
}
