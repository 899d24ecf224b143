package org.pollenhoist.caller;

import java.util.Locale;
import org.pollenhoist.common.ErrorCode;

/** Checks paths to plain services, which are forwarded unchanged: no two readers may take one for different places. */
public final class ServicePaths {

    private ServicePaths() {}

    /**
     * Refuses a path that could be read in two ways.
     *
     * @param rawPath the path as received
     * @throws RefusedException with {@link ErrorCode#INVALID_REQUEST}
     */
    public static void requireUnambiguous(String rawPath) {
        String lower = rawPath.toLowerCase(Locale.ROOT);
        boolean hasEncodedSeparator = lower.contains("%2f") || lower.contains("%5c") || lower.contains("%00");
        boolean hasEncodedDot = lower.contains("%2e");
        boolean hasControl = rawPath.chars().anyMatch(character -> character <= ' ' || character == '\\');
        if (hasEncodedSeparator || hasEncodedDot || hasControl || hasDotSegment(rawPath)) {
            throw RefusedException.of(Refusal.notRun(
                    ErrorCode.INVALID_REQUEST,
                    "the path has dot segments, encoded separators or control characters, expected a plain path"));
        }
    }

    private static boolean hasDotSegment(String rawPath) {
        for (String segment : rawPath.split("/", -1)) {
            if (segment.equals(".") || segment.equals("..")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Tells whether a path lies below a route's prefix, by whole segments.
     *
     * @param prefix the prefix
     * @param rawPath the path as received
     * @return true where it is the prefix or lies below
     */
    public static boolean isBelow(String prefix, String rawPath) {
        return rawPath.equals(prefix) || rawPath.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }
}
