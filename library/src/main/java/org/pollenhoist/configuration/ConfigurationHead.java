package org.pollenhoist.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/**
 * The one record that says which configuration is the latest. Commits compare-and-swap it; its revision is the version
 * that the platform's service gives it.
 *
 * @param revision the revision, 1 for the first
 * @param changeIdentifier unique identifier of the change that made it
 * @param contentDigest SHA-256 digest of the joined content, in lower-case hexadecimal
 * @param rulesParts the names of the immutable parts that hold the rules, in order
 * @param keyParts the names of the immutable parts that hold the keys, in order
 * @param recentChanges the latest changes, newest first, this one included
 */
public record ConfigurationHead(
        long revision,
        String changeIdentifier,
        String contentDigest,
        List<String> rulesParts,
        List<String> keyParts,
        List<PastChange> recentChanges) {

    /** How many changes a head remembers, so that the author of a lost answer learns what became of it. */
    static final int REMEMBERED_CHANGES = 64;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * A change that was accepted.
     *
     * @param revision the revision that it made
     * @param changeIdentifier its unique identifier
     */
    public record PastChange(long revision, String changeIdentifier) {}

    /** Copies the lists. */
    public ConfigurationHead {
        rulesParts = List.copyOf(rulesParts);
        keyParts = List.copyOf(keyParts);
        recentChanges = List.copyOf(recentChanges);
    }

    /**
     * Returns the head of the revision after an earlier head.
     *
     * @param earlier what was remembered before, newest first
     * @param revision the new revision
     * @param changeIdentifier the identifier of the new change
     * @param contentDigest the digest of the new content
     * @param rulesParts the names of the parts with the rules
     * @param keyParts the names of the parts with the keys
     * @return the new head
     */
    public static ConfigurationHead after(
            List<PastChange> earlier,
            long revision,
            String changeIdentifier,
            String contentDigest,
            List<String> rulesParts,
            List<String> keyParts) {
        List<PastChange> recent = new ArrayList<>();
        recent.add(new PastChange(revision, changeIdentifier));
        recent.addAll(earlier.subList(0, Math.min(earlier.size(), REMEMBERED_CHANGES - 1)));
        return new ConfigurationHead(revision, changeIdentifier, contentDigest, rulesParts, keyParts, recent);
    }

    /**
     * Returns the stored form.
     *
     * @return the bytes
     */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /**
     * Reads the stored form.
     *
     * @param content what {@link #encode} gave
     * @return the head
     * @throws PollenhoistException with {@code INVALID_CONFIGURATION} where the bytes have another form
     */
    public static ConfigurationHead decode(byte[] content) {
        try {
            return MAPPER.readValue(content, ConfigurationHead.class);
        } catch (IOException exception) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "configuration head can't be decoded: " + exception.getMessage(),
                    exception);
        }
    }
}
