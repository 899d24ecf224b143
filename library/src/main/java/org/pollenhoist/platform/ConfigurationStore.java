package org.pollenhoist.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.configuration.Compression;
import org.pollenhoist.configuration.ConfigurationCodec;
import org.pollenhoist.configuration.ConfigurationHead;
import org.pollenhoist.configuration.Digests;
import org.pollenhoist.configuration.InstalledConfiguration;

/**
 * How a configuration lies in the platform's service: one head record, and immutable parts that it names.
 *
 * <p>Each part carries the identifier of the change that wrote it, so that no two changes ever share a part by
 * accident: a part that has left the head never comes back and may be removed.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigurationStore {

    /** Key of the head record. */
    public static final String HEAD_KEY = "configuration/head";

    private static final String PART_PREFIX = "configuration/parts/";
    private static final int MAXIMUM_CHUNK_BYTES = 768 * 1024;
    private static final long IMPOSSIBLE_VERSION = Long.MAX_VALUE;
    private static final long VERSION_OF_PART = 1;
    private static final int READS_FOR_FRESH_ANSWER = 5;
    private static final int FETCHES_FOR_CONSISTENT_ANSWER = 5;

    private final PlatformService platform;

    @SuppressWarnings("ArrayRecordComponent")
    private record CachedRules(List<String> parts, byte[] rules) {}

    private volatile CachedRules cachedRules = new CachedRules(List.of(), new byte[0]);

    private ConfigurationStore(PlatformService platform) {
        this.platform = platform;
    }

    /**
     * Returns the store over a platform's service.
     *
     * @param platform the service
     * @return the store
     */
    public static ConfigurationStore over(PlatformService platform) {
        return new ConfigurationStore(platform);
    }

    /**
     * Reads the head; the answer may come from before.
     *
     * @return the head, or empty where nothing was ever committed
     */
    public Optional<ConfigurationHead> readHead() {
        return platform.read(HEAD_KEY).map(ConfigurationStore::checkedHead);
    }

    /**
     * Asks for the head's version where writes are decided, which can't answer from before: the removal of a version
     * that can't exist is always refused, and the refusal names the version that stands.
     *
     * @return the revision that stands now, 0 where nothing was ever committed
     */
    public long confirmedRevision() {
        WriteOutcome outcome = platform.remove(HEAD_KEY, IMPOSSIBLE_VERSION);
        return switch (outcome) {
            case WriteOutcome.Conflict conflict -> conflict.actualVersion();
            case WriteOutcome.Unknown unknown ->
                throw PlatformUnavailableException.noAnswer("the question for the head's version", unknown.reason());
            case WriteOutcome.Written written ->
                throw new PollenhoistException(
                        ErrorCode.INTERNAL,
                        "the platform removed version " + IMPOSSIBLE_VERSION + " of '" + HEAD_KEY
                                + "', expected a refusal");
        };
    }

    /**
     * Reads a head that is at least as new as the latest commit before this call.
     *
     * @return the head, or empty where nothing was ever committed
     * @throws PlatformUnavailableException where the platform keeps answering from before
     */
    public Optional<ConfigurationHead> readConfirmedHead() {
        long confirmed = confirmedRevision();
        Optional<ConfigurationHead> head = Optional.empty();
        for (int attempt = 0; attempt < READS_FOR_FRESH_ANSWER; attempt++) {
            head = readHead();
            if (head.map(ConfigurationHead::revision).orElse(0L) >= confirmed) {
                return head;
            }
        }
        throw PlatformUnavailableException.staleAnswer(
                HEAD_KEY, head.map(ConfigurationHead::revision).orElse(0L), confirmed);
    }

    /**
     * Reads the parts that a head names.
     *
     * @param head the head
     * @return the revision, or empty where a part is gone since a later commit replaced it
     */
    public Optional<InstalledConfiguration> fetch(ConfigurationHead head) {
        Optional<byte[]> rules = rules(head);
        Optional<byte[]> keys = rules.flatMap(found -> content(head.keyParts()));
        return keys.map(found -> InstalledConfiguration.of(
                head.revision(),
                head.changeIdentifier(),
                head.contentDigest(),
                Compression.deflate(ConfigurationCodec.join(rules.orElseThrow(), found))));
    }

    /**
     * Reads the head and its parts as of the same revision; the answer may come from before.
     *
     * @return the revision, or empty where nothing was ever committed
     */
    public Optional<InstalledConfiguration> fetchLatest() {
        for (int attempt = 0; attempt < FETCHES_FOR_CONSISTENT_ANSWER; attempt++) {
            Optional<ConfigurationHead> head = readHead();
            if (head.isEmpty()) {
                return Optional.empty();
            }
            Optional<InstalledConfiguration> found = fetch(head.get());
            if (found.isPresent()) {
                return found;
            }
        }
        throw PlatformUnavailableException.noAnswer("the parts of '" + HEAD_KEY + "'", "parts are missing");
    }

    /**
     * Writes content as parts.
     *
     * @param changeIdentifier the identifier of the change
     * @param content the content
     * @return the names of the parts in order
     * @throws PlatformUnavailableException where it is unknown whether all parts were written
     */
    public List<String> writeParts(String changeIdentifier, byte[] content) {
        byte[] deflated = Compression.deflate(content);
        List<String> names = new ArrayList<>();
        for (int start = 0; start < deflated.length; start += MAXIMUM_CHUNK_BYTES) {
            int end = Math.min(deflated.length, start + MAXIMUM_CHUNK_BYTES);
            names.add(writePart(part(changeIdentifier, Arrays.copyOfRange(deflated, start, end))));
        }
        return names;
    }

    /** Removes parts that no head names any more. A part that stays behind does no harm, so failures are ignored. */
    public void removeParts(List<String> names) {
        for (String name : names) {
            platform.remove(PART_PREFIX + name, VERSION_OF_PART);
        }
    }

    private String writePart(byte[] part) {
        String name = Digests.sha256Text(part);
        String key = PART_PREFIX + name;
        WriteOutcome outcome = platform.compareAndSwap(key, 0, part, Optional.empty());
        if (outcome instanceof WriteOutcome.Unknown unknown
                && platform.read(key).isEmpty()) {
            throw PlatformUnavailableException.noAnswer("the write of '" + key + "'", unknown.reason());
        }
        return name;
    }

    private Optional<byte[]> rules(ConfigurationHead head) {
        CachedRules cached = cachedRules;
        if (cached.parts().equals(head.rulesParts())) {
            return Optional.of(cached.rules());
        }
        Optional<byte[]> rules = content(head.rulesParts());
        rules.ifPresent(found -> cachedRules = new CachedRules(head.rulesParts(), found));
        return rules;
    }

    private Optional<byte[]> content(List<String> names) {
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        for (String name : names) {
            Optional<StoredValue> stored = platform.read(PART_PREFIX + name);
            if (stored.isEmpty()) {
                return Optional.empty();
            }
            deflated.writeBytes(chunk(name, stored.get().content()));
        }
        return Optional.of(Compression.inflate(deflated.toByteArray()));
    }

    private static byte[] part(String changeIdentifier, byte[] chunk) {
        byte[] identifier = changeIdentifier.getBytes(StandardCharsets.US_ASCII);
        ByteArrayOutputStream part = new ByteArrayOutputStream();
        part.write(identifier.length);
        part.writeBytes(identifier);
        part.writeBytes(chunk);
        return part.toByteArray();
    }

    private static byte[] chunk(String name, byte[] part) {
        String actual = Digests.sha256Text(part);
        if (!actual.equals(name)) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION, "part has digest " + actual + ", expected " + name);
        }
        return Arrays.copyOfRange(part, 1 + part[0], part.length);
    }

    private static ConfigurationHead checkedHead(StoredValue stored) {
        ConfigurationHead head = ConfigurationHead.decode(stored.content());
        if (head.revision() != stored.version()) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "head says revision " + head.revision() + " in version " + stored.version()
                            + ", expected the same number");
        }
        return head;
    }
}
