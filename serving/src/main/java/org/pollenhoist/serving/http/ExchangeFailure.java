package org.pollenhoist.serving.http;

/** How far an exchange had proceeded when it failed. */
public enum ExchangeFailure {
    /** No connection could be opened; nothing was sent. */
    NOT_SENT,
    /** The request was sent and no response head was received; the request may have been executed. */
    NO_ANSWER,
    /** The response ended before it was complete. */
    BROKEN_ANSWER,
    /** What was received is not a valid HTTP response. */
    MALFORMED_ANSWER
}
