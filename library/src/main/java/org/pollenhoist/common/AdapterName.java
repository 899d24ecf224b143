package org.pollenhoist.common;

/**
 * The name of a adapter that is loaded beside its base model.
 *
 * <p>Example: {@code AdapterName.of("catch-report-greek")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record AdapterName(String value) implements Comparable<AdapterName> {

    /** Checks the form of the name. */
    public AdapterName {
        Names.requireValid("AdapterName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static AdapterName of(String value) {
        return new AdapterName(value);
    }

    @Override
    public int compareTo(AdapterName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
