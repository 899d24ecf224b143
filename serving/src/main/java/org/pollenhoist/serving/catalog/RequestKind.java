package org.pollenhoist.serving.catalog;

/** What may be done with a request whose outcome is not known. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT,
    /** Runs at most once. */
    NON_IDEMPOTENT,
    /** Answered by a stream of events; runs at most once unless its route allows resuming. */
    STREAM
}
