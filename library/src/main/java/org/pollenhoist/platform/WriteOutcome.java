package org.pollenhoist.platform;

/** What became of a conditional write. */
public sealed interface WriteOutcome {

    /**
     * The write took effect.
     *
     * @param version the new version, 0 after a removal
     */
    record Written(long version) implements WriteOutcome {}

    /**
     * The version was another one; nothing was written.
     *
     * @param actualVersion the version that stands, 0 where the key does not exist
     */
    record Conflict(long actualVersion) implements WriteOutcome {}

    /**
     * The answer was lost: the write may or may not have taken effect. Read back to learn which.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements WriteOutcome {}
}
