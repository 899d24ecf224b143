package org.pollenhoist.serving.node;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses relays: configurations are text whose entries resemble each other. */
final class RelayCompression {

    /** The name of the compression in requests and responses. */
    static final String NAME = "gzip";

    /** Largest size of a relay, in bytes: the same as of a response that isn't compressed. */
    static final int MAXIMUM_BYTES = 8 << 20;

    private static final int BUFFER_BYTES = 8 << 10;

    private RelayCompression() {}

    static byte[] compress(byte[] plain) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (FastGzip gzip = new FastGzip(compressed)) {
            gzip.write(plain);
        } catch (IOException unexpected) {
            throw new IllegalStateException("compression into an in-memory buffer failed", unexpected);
        }
        return compressed.toByteArray();
    }

    /**
     * Restores what was compressed.
     *
     * @param compressed the bytes of a peer
     * @return the bytes before compression
     * @throws IOException if they are malformed, or more than {@link #MAXIMUM_BYTES}
     */
    static byte[] decompress(byte[] compressed) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed), BUFFER_BYTES)) {
            byte[] plain = gzip.readNBytes(MAXIMUM_BYTES + 1);
            if (plain.length > MAXIMUM_BYTES) {
                throw new IOException("relay of more than " + MAXIMUM_BYTES + " bytes");
            }
            return plain;
        }
    }

    /** Favours speed over size, since the event loop compresses. */
    private static final class FastGzip extends GZIPOutputStream {

        private FastGzip(ByteArrayOutputStream compressed) throws IOException {
            super(compressed, BUFFER_BYTES);
            def.setLevel(Deflater.BEST_SPEED);
        }
    }
}
