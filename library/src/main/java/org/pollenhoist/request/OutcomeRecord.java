package org.pollenhoist.request;

import org.pollenhoist.common.MonotonicTime;

/**
 * A registrar's record of one key.
 *
 * @param digest the key's digest
 * @param request the request's fingerprint
 * @param runner the process that runs or ran it
 * @param state RUNNING, FINISHED or OUTCOME_LOST
 * @param since when it was registered
 */
public record OutcomeRecord(
        RequestFingerprint digest,
        RequestFingerprint request,
        RegistrarAnswer.Runner runner,
        RegistrarAnswer.State state,
        MonotonicTime since) {

    boolean isRunBy(RegistrarAnswer.Runner process) {
        return runner.equals(process) && state == RegistrarAnswer.State.RUNNING;
    }

    OutcomeRecord in(RegistrarAnswer.State newState) {
        return new OutcomeRecord(digest, request, runner, newState, since);
    }
}
