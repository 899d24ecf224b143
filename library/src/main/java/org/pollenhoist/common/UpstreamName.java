package org.pollenhoist.common;

/**
 * The name of a upstream: one model engine replica or one plain service instance.
 *
 * <p>Example: {@code UpstreamName.of("scribe-1")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record UpstreamName(String value) implements Comparable<UpstreamName> {

    /** Checks the form of the name. */
    public UpstreamName {
        Names.requireValid("UpstreamName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static UpstreamName of(String value) {
        return new UpstreamName(value);
    }

    @Override
    public int compareTo(UpstreamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
