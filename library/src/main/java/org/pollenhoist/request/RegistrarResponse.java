package org.pollenhoist.request;

import java.util.Optional;
import org.pollenhoist.common.VmName;

/**
 * What a registrar says to a VM that wants to run a request with an idempotency key.
 *
 * @param state what it knows of the key
 * @param runner the process that runs or ran the request; empty where the key is new
 * @param vouches whether it would know of every earlier run of this key
 */
public record RegistrarResponse(State state, Optional<Runner> runner, boolean vouches) {

    /** What is known of a key. */
    public enum State {
        /** No run is known; the asking process is registered now. */
        NEVER_SEEN,
        /** It is registered by a process that has not told its end. */
        RUNNING,
        /** It ended with a whole answer. */
        FINISHED,
        /** It may have run, and its outcome is lost. */
        OUTCOME_LOST,
        /** The key came with another request. */
        OTHER_REQUEST
    }

    /**
     * A process that registered to run a request.
     *
     * @param vm its VM
     * @param incarnation its start
     * @param registration tells its registrations apart, so that a late message about an earlier one has no effect
     */
    public record Runner(VmName vm, long incarnation, long registration) {}
}
