package org.pollenhoist.entry;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Counts the tokens of an answer as it passes: the engine's own statement of usage where there is one, otherwise one
 * token for each event of the stream.
 */
final class TokenMeter {

    private static final Pattern TOTAL = Pattern.compile("\"total_tokens\"\\s*:\\s*(\\d{1,9})\\D");

    private static final String EVENT = "\ndata:";

    /** Long enough for a split statement or event mark to be found whole. */
    private static final int CARRIED_CHARACTERS = 40;

    private final double promptTokens;

    private String carried = "\n";

    private long events;

    private double stated = -1;

    TokenMeter(double promptTokens) {
        this.promptTokens = promptTokens;
    }

    void read(ByteBuf part) {
        read(part.toString(StandardCharsets.UTF_8));
    }

    void read(String part) {
        String text = carried + part;
        Matcher total = TOTAL.matcher(text);
        while (total.find()) {
            stated = Double.parseDouble(total.group(1));
        }
        events += count(text) - count(carried);
        carried = text.substring(Math.max(0, text.length() - CARRIED_CHARACTERS));
    }

    private static long count(String text) {
        long found = 0;
        int position = text.indexOf(EVENT);
        while (position >= 0) {
            found++;
            position = text.indexOf(EVENT, position + EVENT.length());
        }
        return found;
    }

    /** Tokens that the request has used so far. */
    double used() {
        return stated >= 0 ? stated : promptTokens + events;
    }
}
