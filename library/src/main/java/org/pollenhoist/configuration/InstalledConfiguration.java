package org.pollenhoist.configuration;

import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** A revision of the configuration that was decoded and whose digest was checked. Immutable. */
public final class InstalledConfiguration {

    private final long revision;
    private final String changeIdentifier;
    private final String contentDigest;
    private final byte[] deflatedContent;
    private final Configuration configuration;
    private final KeyTable keys;

    private InstalledConfiguration(
            long revision, String changeIdentifier, String contentDigest, byte[] deflatedContent, byte[] content) {
        this.revision = revision;
        this.changeIdentifier = changeIdentifier;
        this.contentDigest = contentDigest;
        this.deflatedContent = deflatedContent;
        this.configuration = ConfigurationCodec.decode(content);
        this.keys = KeyTable.of(configuration);
    }

    /**
     * Checks and decodes the content of a revision.
     *
     * @param revision the revision
     * @param changeIdentifier the identifier of the change that made it
     * @param expectedDigest the SHA-256 digest of the inflated content, in lower-case hexadecimal
     * @param deflatedContent the deflated content
     * @return the revision
     * @throws PollenhoistException with {@code INVALID_CONFIGURATION} where the content does not match its digest
     */
    public static InstalledConfiguration of(
            long revision, String changeIdentifier, String expectedDigest, byte[] deflatedContent) {
        byte[] content = Compression.inflate(deflatedContent);
        String actualDigest = Digests.sha256Text(content);
        if (!actualDigest.equals(expectedDigest)) {
            throw new PollenhoistException(
                    ErrorCode.INVALID_CONFIGURATION,
                    "content of revision " + revision + " has digest " + actualDigest + ", expected " + expectedDigest);
        }
        return new InstalledConfiguration(revision, changeIdentifier, actualDigest, deflatedContent.clone(), content);
    }

    /**
     * Returns the revision.
     *
     * @return the revision, 1 for the first
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the identifier of the change that made this revision.
     *
     * @return the identifier
     */
    public String changeIdentifier() {
        return changeIdentifier;
    }

    /**
     * Returns the digest of the content.
     *
     * @return the SHA-256 digest in lower-case hexadecimal
     */
    public String contentDigest() {
        return contentDigest;
    }

    /**
     * Returns the content in the form in which VMs pass it on.
     *
     * @return the deflated content
     */
    public byte[] deflatedContent() {
        return deflatedContent.clone();
    }

    /**
     * Returns the decoded configuration.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns the keys in force.
     *
     * @return the keys
     */
    public KeyTable keys() {
        return keys;
    }
}
