package org.pollenhoist.request;

import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.DecisionLog;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;

/**
 * Decides whether a request is retried and which error its caller gets. A request that is not idempotent is retried
 * only if it is proved that it did not run, so that upstreams execute it at most once.
 */
public final class RetryPolicy {

    private static final DecisionLog LOG = DecisionLog.of("request");
    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final RetryBudget budget;

    /**
     * Creates a policy.
     *
     * @param budget limits the retries of all requests together
     */
    public RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Decides on the next step after an attempt.
     *
     * @param progress the request's progress, including this attempt
     * @param result how the attempt ended
     * @param now the current time
     * @return the next step
     */
    public NextStep next(RequestProgress progress, AttemptResult result, MonotonicTime now) {
        NextStep step = decide(progress, result, now);
        log(progress, result, step);
        return step;
    }

    /**
     * Returns the error for the caller when no upstream can accept the request.
     *
     * @param progress the request's progress
     * @param retryAfter the time after which the caller may retry
     * @return the error; it states "not run" only if no attempt may have run
     */
    public NextStep.GiveUp noUpstream(RequestProgress progress, Duration retryAfter) {
        if (progress.mayHaveRun() && !progress.isIdempotent()) {
            return new NextStep.GiveUp(ErrorCode.OUTCOME_UNKNOWN, false, Optional.empty());
        }
        return new NextStep.GiveUp(ErrorCode.UPSTREAM_UNAVAILABLE, !progress.mayHaveRun(), Optional.of(retryAfter));
    }

    private NextStep decide(RequestProgress progress, AttemptResult result, MonotonicTime now) {
        return switch (result) {
            case AttemptResult.Answered answered -> new NextStep.Done();
            case AttemptResult.StreamBroke broke ->
                new NextStep.GiveUp(ErrorCode.ANSWER_INCOMPLETE, false, Optional.empty());
            case AttemptResult.NotSent notSent -> retryOrGiveUp(progress, now);
            case AttemptResult.FailedBeforeAnswer failed -> afterUnprovedFailure(progress, now);
            case AttemptResult.TimedOut timedOut -> afterUnprovedFailure(progress, now);
        };
    }

    private NextStep afterUnprovedFailure(RequestProgress progress, MonotonicTime now) {
        if (!progress.isIdempotent()) {
            return new NextStep.GiveUp(ErrorCode.OUTCOME_UNKNOWN, false, Optional.empty());
        }
        return retryOrGiveUp(progress.afterUnprovedFailure(), now);
    }

    private NextStep retryOrGiveUp(RequestProgress progress, MonotonicTime now) {
        if (!now.isBefore(progress.deadline())) {
            return new NextStep.GiveUp(ErrorCode.DEADLINE_EXCEEDED, !progress.mayHaveRun(), Optional.empty());
        }
        if (progress.attempts() >= MAXIMUM_ATTEMPTS || !budget.tryWithdraw()) {
            return noUpstream(progress, RETRY_AFTER);
        }
        return new NextStep.RetryElsewhere(progress);
    }

    private static void log(RequestProgress progress, AttemptResult result, NextStep step) {
        String attempt = result.getClass().getSimpleName();
        switch (step) {
            case NextStep.Done done -> LOG.event("attempt", "result", attempt, "step", "done");
            case NextStep.RetryElsewhere retry ->
                LOG.event("attempt", "result", attempt, "step", "retry", "attempts", progress.attempts());
            case NextStep.GiveUp giveUp ->
                LOG.event(
                        "attempt",
                        "result",
                        attempt,
                        "step",
                        "give_up",
                        "reason",
                        giveUp.code().text(),
                        "not_run",
                        giveUp.isNotRun(),
                        "attempts",
                        progress.attempts());
        }
    }
}
