package org.pollenhoist.request;

import java.util.Optional;
import org.pollenhoist.common.VmName;

/**
 * The response of a registrar to a VM that is to run a request with an idempotency key.
 *
 * @param state the state of the key
 * @param runner the process that runs or ran the request; empty where the key is new
 * @param vouches whether the registrar is certain to know of every earlier run of this key
 */
public record RegistrarResponse(State state, Optional<Runner> runner, boolean vouches) {

    /** The state of a key at a registrar. */
    public enum State {
        /** No earlier run is known; the requesting process is now registered. */
        NEVER_SEEN,
        /** A process has registered a run and has not reported its end yet. */
        RUNNING,
        /** The run ended with a full response. */
        FINISHED,
        /** The request may have run, and its outcome is lost. */
        OUTCOME_LOST,
        /** The key was used before with a different request. */
        OTHER_REQUEST
    }

    /**
     * A process that registered to run a request.
     *
     * @param vm the VM of the process
     * @param incarnation distinguishes this process from earlier ones of the same VM
     * @param registration distinguishes the registrations of the process, so that a late message about an earlier one
     *     has no effect
     */
    public record Runner(VmName vm, long incarnation, long registration) {}
}
