package org.pollenhoist.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * A fingerprint of a request's content, based on the first 128 bits of its SHA-256 digest. Equal requests have equal
 * fingerprints.
 *
 * @param high the first 64 bits of the content's digest
 * @param low the next 64 bits
 */
public record RequestFingerprint(long high, long low) {

    /** Length of the binary form, in bytes. */
    public static final int BYTES = 16;

    /**
     * Returns the fingerprint of a request.
     *
     * @param method the HTTP method
     * @param path the path with its query
     * @param body the complete body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String method, String path, byte[] body) {
        return of(method, path, "", body);
    }

    /**
     * Returns the fingerprint of a request that includes its caller, so that equal requests of different callers, such
     * as those without a body, have different fingerprints.
     *
     * @param method the HTTP method
     * @param path the path with its query
     * @param caller the caller that sends it, empty if unknown
     * @param body the complete body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String method, String path, String caller, byte[] body) {
        MessageDigest digest = sha256();
        for (String part : List.of(method, path, caller)) {
            digest.update(part.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
        }
        return parse(digest.digest(body));
    }

    /**
     * Decodes the binary form.
     *
     * @param bytes at least {@value #BYTES} bytes; further bytes are ignored
     * @return the fingerprint
     */
    public static RequestFingerprint parse(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestFingerprint(buffer.getLong(), buffer.getLong());
    }

    /**
     * Encodes the fingerprint in its binary form.
     *
     * @return {@value #BYTES} bytes
     */
    public byte[] toBytes() {
        return ByteBuffer.allocate(BYTES).putLong(high).putLong(low).array();
    }

    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must support it", missing);
        }
    }
}
