package org.pollenhoist.common;

/**
 * The name of a model that callers ask for.
 *
 * <p>Example: {@code ModelName.of("scribe-large")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record ModelName(String value) implements Comparable<ModelName> {

    /** Checks the form of the name. */
    public ModelName {
        Names.requireValid("ModelName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static ModelName of(String value) {
        return new ModelName(value);
    }

    @Override
    public int compareTo(ModelName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
