package org.pollenhoist.configuration;

/** What became of a revision that was offered to the table. */
public sealed interface Installation {

    /** It is in force now. */
    record Installed() implements Installation {}

    /** The same revision was in force already. */
    record AlreadyInForce() implements Installation {}

    /**
     * A higher revision is in force; nothing changed.
     *
     * @param revisionInForce the higher revision
     */
    record Older(long revisionInForce) implements Installation {}

    /**
     * The same revision is in force with other content; nothing changed.
     *
     * @param digestInForce the digest of the content in force
     */
    record Contradiction(String digestInForce) implements Installation {}
}
