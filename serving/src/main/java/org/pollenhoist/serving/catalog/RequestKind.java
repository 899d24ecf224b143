package org.pollenhoist.serving.catalog;

/** The kind of a request, which determines whether it may be sent again when its outcome is unknown. */
public enum RequestKind {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Must be executed at most once. */
    NON_IDEMPOTENT,
    /** Its response is a stream of events; must be executed at most once unless its route allows resuming. */
    STREAM
}
