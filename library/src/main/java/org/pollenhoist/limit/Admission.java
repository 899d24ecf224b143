package org.pollenhoist.limit;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.MonotonicTime;

/** The decision on a request. */
public sealed interface Admission {

    /**
     * The request may run.
     *
     * @param reservation the tokens taken for it, to be settled when it ends
     */
    record Admitted(Reservation reservation) implements Admission {}

    /**
     * This VM lacks tokens, but others may have them. Send the messages, then decide again with
     * {@link ShareTable#retry} after each answer and at the latest at {@code decideAt}.
     *
     * @param waiting the request that waits
     * @param messages what to send; empty where an earlier request's question is still under way
     * @param decideAt when to decide again even without an answer
     */
    record AskPeers(WaitingRequest waiting, List<Outgoing> messages, MonotonicTime decideAt) implements Admission {

        /** Copies the messages. */
        public AskPeers {
            messages = List.copyOf(messages);
        }
    }

    /**
     * The request is refused and has not run.
     *
     * @param reason why
     * @param retryAfter when the fleet will hold enough tokens as far as is known; empty where it never will
     */
    record Refused(Refusal reason, Optional<Duration> retryAfter) implements Admission {}
}
