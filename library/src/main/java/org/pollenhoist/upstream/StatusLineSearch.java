package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;

/**
 * Searches the body of a response for a status line. A body with one may have been cut, so that by its framing it
 * contains the next response. Confined to the event loop.
 */
final class StatusLineSearch {

    /** The beginning of a status line; {@link #DIGIT} stands for any digit. */
    private static final String PATTERN = "HTTP/1.# ###";

    private static final char DIGIT = '#';

    /** Number of characters of the pattern with which what was read ends. */
    private int matched;

    /** Begins to search another body. */
    void begin() {
        matched = 0;
    }

    /** Returns whether a status line ends in the next part of the body; also one that began in an earlier part. */
    boolean isFoundIn(ByteBuf buffer, int index, int length) {
        return buffer.forEachByte(index, length, this::goesOnAfter) >= 0;
    }

    private boolean goesOnAfter(byte read) {
        char expected = PATTERN.charAt(matched);
        if (expected == DIGIT ? read >= '0' && read <= '9' : read == expected) {
            matched++;
        } else {
            matched = read == PATTERN.charAt(0) ? 1 : 0;
        }
        return matched < PATTERN.length();
    }
}
