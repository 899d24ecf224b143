package org.pollenhoist.entry;

import org.pollenhoist.caller.Refusal;
import org.pollenhoist.request.StoredResponse;
import org.pollenhoist.upstream.AnswerStream;
import ratpack.http.client.StreamedResponse;

/** What a request has come to, ready for its caller. */
sealed interface FlowOutcome {

    /**
     * A whole answer.
     *
     * @param answer the answer
     */
    record Whole(StoredResponse answer) implements FlowOutcome {}

    /**
     * An answer whose head is there and whose parts are passed on as they come.
     *
     * @param response the head
     * @param body the watched body
     */
    record Streaming(StreamedResponse response, AnswerStream body) implements FlowOutcome {}

    /**
     * No answer.
     *
     * @param refusal what the caller gets instead
     */
    record Refused(Refusal refusal) implements FlowOutcome {}
}
