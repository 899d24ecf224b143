package org.pollenhoist.request;

import java.util.concurrent.CompletableFuture;

/** What is known of a request with an idempotency key when it comes, or comes again. */
public sealed interface IdempotencyOutcome {

    /**
     * Never seen here: it may run, and its end is to be recorded with the ticket.
     *
     * @param ticket the right to run it
     */
    record Fresh(IdempotencyTicket ticket) implements IdempotencyOutcome {}

    /**
     * It runs at this moment.
     *
     * @param end completes with what a repeat begun after the end would get, never exceptionally
     */
    record Running(CompletableFuture<IdempotencyOutcome> end) implements IdempotencyOutcome {}

    /**
     * It ended with an answer.
     *
     * @param answer the answer
     */
    record Finished(StoredResponse answer) implements IdempotencyOutcome {}

    /** It ended with an answer that is no longer kept. */
    record AnswerForgotten() implements IdempotencyOutcome {}

    /** It may have run, and how it ended is not known; it is not run again. */
    record Unknown() implements IdempotencyOutcome {}

    /** It was proved not to have run: a repeat may run. Stands only as the end of a running one. */
    record NotRun() implements IdempotencyOutcome {}

    /** The same key came with another request. */
    record OtherRequest() implements IdempotencyOutcome {}
}
