package org.pollenhoist.serving.http;

/** What a connection carried before an exchange. */
public enum ConnectionUse {
    /** Nothing: what arrives on it can only respond to the exchange. */
    NEW,
    /** Other exchanges: what arrives on it may be a copy of an earlier response. */
    REUSED
}
