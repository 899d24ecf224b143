package org.pollenhoist.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The keys in force. Immutable.
 *
 * <p>The lookup runs over digests, whose bytes a caller can't choose, and ends with a comparison in constant time.
 */
public final class KeyTable {

    private final Map<String, KeyRecord> recordByDigest;
    private final Map<String, KeyRecord> recordByIdentifier;

    private KeyTable(Map<String, KeyRecord> recordByDigest, Map<String, KeyRecord> recordByIdentifier) {
        this.recordByDigest = recordByDigest;
        this.recordByIdentifier = recordByIdentifier;
    }

    /**
     * Returns the table of a configuration's keys.
     *
     * @param configuration the configuration
     * @return the table
     */
    public static KeyTable of(Configuration configuration) {
        Map<String, KeyRecord> byDigest = new HashMap<>();
        Map<String, KeyRecord> byIdentifier = new HashMap<>();
        for (KeyRecord record : configuration.keys().values()) {
            byDigest.put(record.digest(), record);
            byIdentifier.put(record.identifier(), record);
        }
        return new KeyTable(Map.copyOf(byDigest), Map.copyOf(byIdentifier));
    }

    /**
     * Finds the record of a key that a caller presented.
     *
     * @param presented the key in the clear
     * @return its record, or empty where the key is malformed, unknown or withdrawn
     */
    public Optional<KeyRecord> find(String presented) {
        return TeamKey.parse(presented).map(TeamKey::digest).flatMap(this::findDigest);
    }

    private Optional<KeyRecord> findDigest(String digest) {
        KeyRecord record = recordByDigest.get(digest);
        boolean isSame = record != null && MessageDigest.isEqual(bytes(record.digest()), bytes(digest));
        return isSame ? Optional.of(record) : Optional.empty();
    }

    /**
     * Tells whether a key is still in force, for requests that are running under it.
     *
     * @param record the record that {@link #find} gave when the request came
     * @return false where the key was withdrawn since
     */
    public boolean isInForce(KeyRecord record) {
        return record.equals(recordByIdentifier.get(record.identifier()));
    }

    private static byte[] bytes(String digest) {
        return digest.getBytes(StandardCharsets.US_ASCII);
    }
}
