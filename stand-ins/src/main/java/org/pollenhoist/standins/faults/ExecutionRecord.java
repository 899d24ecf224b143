package org.pollenhoist.standins.faults;

import java.util.Map;

/**
 * One request that an upstream has begun to run.
 *
 * @param number counts the upstream's executions from 1
 * @param method HTTP method
 * @param path path with its query
 * @param requestIdentifier the header {@code X-Request-Id}, empty where there was none
 * @param idempotencyKey the header {@code Idempotency-Key}, empty where there was none
 * @param marker the marker in the request's body, empty where there was none
 * @param bodyDigest SHA-256 digest of the body, in hexadecimal
 * @param headers all headers that came, by lower-case name
 * @param state how far it has come
 */
public record ExecutionRecord(
        long number,
        String method,
        String path,
        String requestIdentifier,
        String idempotencyKey,
        String marker,
        String bodyDigest,
        Map<String, String> headers,
        State state) {

    /** Copies the headers. */
    public ExecutionRecord {
        headers = Map.copyOf(headers);
    }

    /**
     * Returns the record with another state.
     *
     * @param changed the state
     * @return the new record
     */
    ExecutionRecord withState(State changed) {
        return new ExecutionRecord(
                number, method, path, requestIdentifier, idempotencyKey, marker, bodyDigest, headers, changed);
    }

    /** How far an execution has come. */
    public enum State {
        /** It is running. */
        STARTED,
        /** It ended by itself. */
        FINISHED,
        /** Its caller went away before the end. */
        CANCELLED
    }
}
