package org.pollenhoist.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/**
 * Tells requests apart by their content.
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
     * @param body the whole body
     * @return the fingerprint
     */
    public static RequestFingerprint of(String method, String path, byte[] body) {
        return of(method, path, "", body);
    }

    /**
     * Returns the fingerprint of a request of one caller, which tells requests apart that have no body.
     *
     * @param method the HTTP method
     * @param path the path with its query
     * @param caller who sends it, empty where that is not known
     * @param body the whole body
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
     * Reads the binary form.
     *
     * @param bytes at least {@value #BYTES} bytes, of which the first ones count
     * @return the fingerprint
     */
    public static RequestFingerprint parse(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RequestFingerprint(buffer.getLong(), buffer.getLong());
    }

    /**
     * Returns the binary form.
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
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
