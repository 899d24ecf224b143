package org.pollenhoist.upstream;

import java.time.Duration;
import java.util.List;

/**
 * A request as an upstream gets it.
 *
 * @param method the HTTP method in upper case
 * @param pathAndQuery where it goes
 * @param headers what goes with it, already chosen by allow-list
 * @param body its body, empty for none
 * @param identifier names the request in both directions, so that a crossed answer is noticed
 * @param isFreshConnection whether it must go over a connection that was never used before
 * @param answerTimeout how long the answer's head and each further part may take
 */
@SuppressWarnings("ArrayRecordComponent")
public record UpstreamRequest(
        String method,
        String pathAndQuery,
        List<Header> headers,
        byte[] body,
        String identifier,
        boolean isFreshConnection,
        Duration answerTimeout) {

    /** Copies the headers. */
    public UpstreamRequest {
        headers = List.copyOf(headers);
    }

    /**
     * One header line.
     *
     * @param name its name
     * @param value its value
     */
    public record Header(String name, String value) {}
}
