package org.pollenhoist.serving.http;

/** How far an exchange had proceeded when it failed. */
public enum ExchangeFailure {
    /** A connection was refused or could not be opened for another reason; nothing was sent. */
    NOT_SENT,
    /** No connection could be opened in time; nothing was sent. */
    CONNECT_TIMED_OUT,
    /** The request was sent and no response head was received; the request may have been executed. */
    NO_ANSWER,
    /** The response ended before it was complete. */
    BROKEN_ANSWER,
    /** The connection to the peer that passes the response on ended; it shows nothing about the upstream. */
    PATH_LOST,
    /** What was received is not a valid HTTP response. */
    MALFORMED_ANSWER;

    /**
     * Returns whether the request may have been received.
     *
     * @return false if nothing of it was sent
     */
    public boolean isSent() {
        return this != NOT_SENT && this != CONNECT_TIMED_OUT;
    }
}
