package org.pollenhoist.serving.http;

/**
 * What a connection carried before a response.
 *
 * @param connection the number of the connection, counted from the start of the process
 * @param earlierExchanges the number of exchanges that it carried before this one; if there were any, what arrives may
 *     be a copy of a response to one of them
 * @param skippedResponses the number of responses that were discarded since the request was sent
 */
public record ConnectionUse(long connection, int earlierExchanges, int skippedResponses) {

    /**
     * Tells whether the connection carries its first exchange.
     *
     * @return true if what arrives can only respond to this exchange
     */
    public boolean isFirst() {
        return earlierExchanges == 0;
    }
}
