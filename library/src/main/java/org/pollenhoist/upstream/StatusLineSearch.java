package org.pollenhoist.upstream;

import io.netty.buffer.ByteBuf;
import java.util.stream.IntStream;

/**
 * Searches the body of a response for a status line. A body with one may have been cut, so that by its framing it
 * contains the next response, or another response was written into it. Confined to the event loop.
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
        boolean isFound = buffer.forEachByte(index, length, this::goesOnAfter) >= 0;
        if (isFound) {
            matched = 0;
        }
        return isFound;
    }

    /** Returns whether a status line that began in the body goes on in the bytes behind it, as far as there are any. */
    boolean isSplitBefore(ByteBuf buffer, int index, int length) {
        return matched > 0
                && IntStream.range(0, Math.min(length, PATTERN.length() - matched))
                        .allMatch(offset -> isExpected(matched + offset, buffer.getByte(index + offset)));
    }

    private boolean goesOnAfter(byte read) {
        if (isExpected(matched, read)) {
            matched++;
        } else {
            matched = isExpected(0, read) ? 1 : 0;
        }
        return matched < PATTERN.length();
    }

    private static boolean isExpected(int position, byte read) {
        char expected = PATTERN.charAt(position);
        return expected == DIGIT ? read >= '0' && read <= '9' : read == expected;
    }
}
