package org.pollenhoist.serving.http;

/** How far an exchange had come when it failed. */
public enum ExchangeFailure {
    /** No connection could be opened: nothing was sent. */
    NOT_SENT,
    /** The request was sent and no head of an answer came: it may have run. */
    NO_ANSWER,
    /** The answer broke off. */
    BROKEN_ANSWER,
    /** What came is no answer in the protocol. */
    MALFORMED_ANSWER
}
