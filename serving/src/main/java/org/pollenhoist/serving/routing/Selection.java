package org.pollenhoist.serving.routing;

import java.time.Duration;
import org.pollenhoist.serving.upstream.Upstream;

/** The decision on a request: send it to an upstream, keep it in the queue, or refuse it. */
public sealed interface Selection {

    /**
     * The request is sent to an upstream.
     *
     * @param upstream the upstream
     * @param expectedWait estimated time to first token
     * @param reason why this upstream was chosen, for the log
     * @param saving what the upstream is expected to save of the prefill
     */
    record Send(Upstream upstream, Duration expectedWait, String reason, PrefillSaving saving) implements Selection {}

    /**
     * The request waits in the queue of this VM.
     *
     * @param reason what it waits for, for the log
     * @param needsPlacement whether no upstream has loaded its model or adapter
     */
    record Wait(String reason, boolean needsPlacement) implements Selection {}

    /**
     * The request is refused because it can't be answered in time.
     *
     * @param reason why it is refused, for the log and the caller
     * @param retryAfter estimated time after which a retry may succeed
     * @param isForRoom whether it is refused only because other requests have taken the room
     */
    record Refuse(String reason, Duration retryAfter, boolean isForRoom) implements Selection {

        /**
         * Creates a refusal for another cause than want of room.
         *
         * @param reason why the request is refused, for the log and the caller
         * @param retryAfter estimated time after which a retry may succeed
         */
        public Refuse(String reason, Duration retryAfter) {
            this(reason, retryAfter, false);
        }

        /**
         * Creates a refusal for want of room.
         *
         * @param reason why the request is refused, for the log and the caller
         * @param earliest estimated time before which there is no room
         * @return the refusal
         */
        public static Refuse forRoom(String reason, Duration earliest) {
            return new Refuse(reason, earliest, true);
        }
    }
}
