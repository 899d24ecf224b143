package org.pollenhoist.common;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one line of key=value pairs for each event.
 *
 * <p>Example: {@code DecisionLog.of("routing").event("route", "model", model, "upstream", upstream, "reason", reason)}
 * writes {@code event=route model=scribe upstream=scribe-1 reason=least_cost}.
 */
public final class DecisionLog {

    private final Logger logger;

    private DecisionLog(Logger logger) {
        this.logger = logger;
    }

    /**
     * Returns the log of a subject.
     *
     * @param subject the subject, such as {@code routing}; it becomes the logger's name
     * @return the log
     */
    public static DecisionLog of(String subject) {
        return new DecisionLog(LoggerFactory.getLogger("pollenhoist." + subject));
    }

    /**
     * Writes an event.
     *
     * @param event the event's name
     * @param keysAndValues alternating keys and values; values with blanks are quoted
     */
    public void event(String event, Object... keysAndValues) {
        if (logger.isInfoEnabled()) {
            logger.info(line(event, keysAndValues));
        }
    }

    static String line(String event, Object... keysAndValues) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (int index = 0; index + 1 < keysAndValues.length; index += 2) {
            line.append(' ').append(keysAndValues[index]).append('=');
            line.append(quoted(String.valueOf(keysAndValues[index + 1])));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean isPlain = !value.isEmpty()
                && value.chars().allMatch(character -> character > ' ' && character != '"' && character != '=');
        if (isPlain) {
            return value;
        }
        String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"");
        return '"' + escaped.replace("\r", "\\r").replace("\n", "\\n") + '"';
    }
}
