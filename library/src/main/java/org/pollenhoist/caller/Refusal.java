package org.pollenhoist.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.pollenhoist.common.ErrorCode;

/**
 * The final answer to a request that gets no other one.
 *
 * @param code the stable code
 * @param message a sentence with the actual and the expected value
 * @param isNotRun whether it is proved that the request was not run; where false, it may have run
 * @param retryAfter when it helps to come back, or empty
 */
public record Refusal(ErrorCode code, String message, boolean isNotRun, Optional<Duration> retryAfter) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final double MILLISECONDS_PER_SECOND = 1_000.0;

    /**
     * A refusal before anything was sent to an upstream.
     *
     * @param code the code
     * @param message the sentence
     * @return the refusal, proved not run
     */
    public static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, message, true, Optional.empty());
    }

    /**
     * A refusal before anything was sent to an upstream, with the time to come back.
     *
     * @param code the code
     * @param message the sentence
     * @param retryAfter when to come back
     * @return the refusal, proved not run
     */
    public static Refusal notRunRetryAfter(ErrorCode code, String message, Duration retryAfter) {
        return new Refusal(code, message, true, Optional.of(retryAfter));
    }

    /**
     * A refusal of a request that may have run.
     *
     * @param code the code
     * @param message the sentence
     * @return the refusal, which claims nothing
     */
    public static Refusal outcomeUnknown(ErrorCode code, String message) {
        return new Refusal(code, message, false, Optional.empty());
    }

    /**
     * Returns the HTTP status that goes with the code.
     *
     * @return the status
     */
    public int status() {
        return switch (code) {
            case INVALID_REQUEST, INVALID_NAME, INVALID_CONFIGURATION -> 400;
            case UNAUTHORIZED -> 401;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case REQUEST_TIMEOUT -> 408;
            case IDEMPOTENCY_CONFLICT, REVISION_CONFLICT -> 409;
            case REQUEST_TOO_LARGE -> 413;
            case REQUEST_QUARANTINED -> 422;
            case RATE_LIMITED -> 429;
            case INTERNAL -> 500;
            case OUTCOME_UNKNOWN, ANSWER_INCOMPLETE -> 502;
            case OVERLOADED, NOT_READY, UPSTREAM_UNAVAILABLE, PLATFORM_UNAVAILABLE -> 503;
            case DEADLINE_EXCEEDED -> 504;
        };
    }

    /**
     * Returns the value of the header {@code Retry-After}.
     *
     * @return whole seconds, rounded up, at least 1; empty where coming back does not help
     */
    public Optional<String> retryAfterHeader() {
        return retryAfter.map(wait -> Long.toString(Math.max(1, (wait.toMillis() + 999) / 1_000)));
    }

    /**
     * Returns the body.
     *
     * @return JSON in UTF-8: {@code {"error":{"code","type","message","not_run","retry_after_seconds"}}}
     */
    public byte[] body() {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", code.text());
        error.put("type", code.text());
        error.put("message", message);
        error.put("not_run", isNotRun);
        retryAfter.ifPresent(wait -> error.put("retry_after_seconds", wait.toMillis() / MILLISECONDS_PER_SECOND));
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }
}
