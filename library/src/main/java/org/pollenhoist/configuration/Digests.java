package org.pollenhoist.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** SHA-256 digests. */
public final class Digests {

    private static final String ALGORITHM = "SHA-256";

    private Digests() {}

    /**
     * Returns the digest of some content.
     *
     * @param content the content
     * @return the SHA-256 digest, 32 bytes
     */
    public static byte[] sha256(byte[] content) {
        try {
            return MessageDigest.getInstance(ALGORITHM).digest(content);
        } catch (NoSuchAlgorithmException exception) {
            throw new PollenhoistException(ErrorCode.INTERNAL, "this Java runtime lacks " + ALGORITHM, exception);
        }
    }

    /**
     * Returns the digest of some content as text.
     *
     * @param content the content
     * @return the SHA-256 digest, 64 lower-case hexadecimal digits
     */
    public static String sha256Text(byte[] content) {
        return HexFormat.of().formatHex(sha256(content));
    }
}
