package org.pollenhoist.request;

import org.pollenhoist.common.MonotonicTime;

/**
 * A registrar's record of one key.
 *
 * @param digest the key's digest
 * @param request the request's fingerprint
 * @param runner the process that runs or ran the request
 * @param state RUNNING, FINISHED or OUTCOME_LOST
 * @param since when the run was registered
 */
public record OutcomeRecord(
        RequestFingerprint digest,
        RequestFingerprint request,
        RegistrarResponse.Runner runner,
        RegistrarResponse.State state,
        MonotonicTime since) {

    boolean isRunBy(RegistrarResponse.Runner process) {
        return runner.equals(process) && state == RegistrarResponse.State.RUNNING;
    }

    OutcomeRecord in(RegistrarResponse.State newState) {
        return new OutcomeRecord(digest, request, runner, newState, since);
    }
}
