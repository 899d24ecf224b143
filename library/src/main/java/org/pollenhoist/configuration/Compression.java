package org.pollenhoist.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.PollenhoistException;

/** Deflates content on its way to the platform and between VMs. */
public final class Compression {

    /** Bound on inflated content, so that a faulty peer can't exhaust the memory, in bytes. */
    static final int MAXIMUM_INFLATED_BYTES = 64 * 1024 * 1024;

    private Compression() {}

    /**
     * Deflates content.
     *
     * @param content the content
     * @return the deflated content
     */
    public static byte[] deflate(byte[] content) {
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (DeflaterOutputStream deflater = new DeflaterOutputStream(deflated)) {
            deflater.write(content);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return deflated.toByteArray();
    }

    /**
     * Inflates content.
     *
     * @param deflated what {@link #deflate} gave
     * @return the content
     * @throws PollenhoistException with {@code INVALID_CONFIGURATION} where the bytes have another form
     */
    public static byte[] inflate(byte[] deflated) {
        try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(deflated))) {
            byte[] content = inflater.readNBytes(MAXIMUM_INFLATED_BYTES + 1);
            if (content.length > MAXIMUM_INFLATED_BYTES) {
                throw unreadable(deflated, "more than " + MAXIMUM_INFLATED_BYTES + " bytes inflated", null);
            }
            return content;
        } catch (IOException exception) {
            throw unreadable(deflated, String.valueOf(exception.getMessage()), exception);
        }
    }

    private static PollenhoistException unreadable(byte[] deflated, String reason, Throwable cause) {
        return new PollenhoistException(
                ErrorCode.INVALID_CONFIGURATION,
                "deflated content of " + deflated.length + " bytes can't be inflated: " + reason,
                cause);
    }
}
