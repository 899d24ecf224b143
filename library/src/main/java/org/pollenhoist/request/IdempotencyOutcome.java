package org.pollenhoist.request;

import java.util.concurrent.CompletableFuture;

/** The state of an idempotency key when a request with this key arrives. */
public sealed interface IdempotencyOutcome {

    /**
     * The key is new on this VM: the request may run, and its end must be recorded with the ticket.
     *
     * @param ticket permission to run the request
     */
    record Fresh(IdempotencyTicket ticket) implements IdempotencyOutcome {}

    /**
     * The request with this key is running.
     *
     * @param end completes with the outcome that a repeat after the end would get; never completes exceptionally
     */
    record Running(CompletableFuture<IdempotencyOutcome> end) implements IdempotencyOutcome {}

    /**
     * The request ended with a full response, which is stored.
     *
     * @param answer the response
     */
    record Finished(StoredResponse answer) implements IdempotencyOutcome {}

    /** The request ended with a full response, which is not stored or no longer stored. */
    record AnswerForgotten() implements IdempotencyOutcome {}

    /** The request may have run and its outcome is unknown; it is not run again. */
    record Unknown() implements IdempotencyOutcome {}

    /** It is proved that the request did not run: a repeat may run. Only a result of {@link Running#end}. */
    record NotRun() implements IdempotencyOutcome {}

    /** The key was used before with a different request. */
    record OtherRequest() implements IdempotencyOutcome {}
}
