package org.pollenhoist.caller;

import java.util.Locale;
import org.pollenhoist.common.ErrorCode;

/** Checks paths to plain services, which are forwarded unchanged: no two readers may take one for different places. */
final class ServicePath {

    private ServicePath() {}

    static void requireUnambiguous(String rawPath) {
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

    static boolean isBelow(String prefix, String rawPath) {
        return rawPath.equals(prefix) || rawPath.startsWith(prefix.endsWith("/") ? prefix : prefix + "/");
    }
}
