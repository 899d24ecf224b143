package org.pollenhoist.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Keeps callers' keys from upstreams. Headers go by an allow-list, so here only the path, the query and the values of
 * allowed headers are looked at; a key may hide behind repeated percent-encoding.
 */
public final class KeyScrubber {

    private static final Pattern KEY_FORM = Pattern.compile("ph_[a-z0-9]+_[A-Za-z0-9_-]{16,}");

    private static final int MAXIMUM_DECODINGS = 4;

    private final Optional<String> presentedKey;

    private KeyScrubber(Optional<String> presentedKey) {
        this.presentedKey = presentedKey;
    }

    /**
     * Returns a scrubber for one request.
     *
     * @param presentedKey the key that came with the request, or empty
     * @return the scrubber
     */
    public static KeyScrubber of(Optional<String> presentedKey) {
        return new KeyScrubber(presentedKey);
    }

    /**
     * Tells whether a text holds the presented key or anything of a key's form, however often percent-encoded.
     *
     * @param text a path, a query parameter or a header value
     * @return true where it must not reach an upstream
     */
    public boolean holdsKey(String text) {
        String decoded = text;
        for (int round = 0; round < MAXIMUM_DECODINGS; round++) {
            if (isKeyIn(decoded)) {
                return true;
            }
            String next = decode(decoded);
            if (next.equals(decoded)) {
                return false;
            }
            decoded = next;
        }
        return true;
    }

    private boolean isKeyIn(String text) {
        return KEY_FORM.matcher(text).find()
                || presentedKey.filter(text::contains).isPresent();
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException malformed) {
            return text;
        }
    }

    /**
     * Removes the query parameters that hold a key.
     *
     * @param query the raw query without its question mark
     * @return the other parameters in their order, unchanged
     */
    public String cleanQuery(String query) {
        List<String> kept = new ArrayList<>();
        for (String parameter : query.split("&", -1)) {
            if (!holdsKey(parameter)) {
                kept.add(parameter);
            }
        }
        return String.join("&", kept);
    }
}
