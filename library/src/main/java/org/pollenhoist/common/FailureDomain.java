package org.pollenhoist.common;

/**
 * The name of a failure domain.
 *
 * <p>Example: {@code FailureDomain.of("piraeus")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    /** Checks the form of the name. */
    public FailureDomain {
        Names.requireValid("FailureDomain", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
