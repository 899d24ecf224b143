package org.pollenhoist.common;

/**
 * The name of a entry VM.
 *
 * <p>Example: {@code VmName.of("piraeus-1")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record VmName(String value) implements Comparable<VmName> {

    /** Checks the form of the name. */
    public VmName {
        Names.requireValid("VmName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static VmName of(String value) {
        return new VmName(value);
    }

    @Override
    public int compareTo(VmName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
