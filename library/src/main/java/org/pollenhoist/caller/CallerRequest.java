package org.pollenhoist.caller;

import java.util.Optional;
import org.pollenhoist.common.AdapterName;
import org.pollenhoist.common.ModelName;
import org.pollenhoist.common.RouteName;

/** What a caller asks for, read and checked. */
public sealed interface CallerRequest {

    /**
     * Returns an upper bound of the tokens that the request counts against its team's limit.
     *
     * @return tokens
     */
    double tokenBound();

    /**
     * Returns the body to forward.
     *
     * @return the body's bytes, never changed after construction
     */
    byte[] body();

    /**
     * A completion by a model.
     *
     * @param path the path of the interface, such as {@code /v1/chat/completions}
     * @param model the model asked for
     * @param adapter the adapter asked for, or empty
     * @param isStreamed whether the answer is wanted as server-sent events
     * @param promptTokens an estimate of the prompt's tokens
     * @param completionTokens the most tokens that may be generated
     * @param prefix the text from which prefix fingerprints are taken
     * @param body the body to forward
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ModelCall(
            String path,
            ModelName model,
            Optional<AdapterName> adapter,
            boolean isStreamed,
            double promptTokens,
            double completionTokens,
            String prefix,
            byte[] body)
            implements CallerRequest {

        @Override
        public double tokenBound() {
            return promptTokens + completionTokens;
        }
    }

    /**
     * A call of a plain service.
     *
     * @param route the route
     * @param method the HTTP method in upper case
     * @param pathAndQuery the path with the cleaned query
     * @param isIdempotent whether the call may be repeated
     * @param idempotencyKey the caller's name for this piece of work, or empty
     * @param tokenBound what it counts against the limit, in tokens
     * @param body the body to forward
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ServiceCall(
            RouteName route,
            String method,
            String pathAndQuery,
            boolean isIdempotent,
            Optional<String> idempotencyKey,
            double tokenBound,
            byte[] body)
            implements CallerRequest {}
}
