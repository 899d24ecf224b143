package org.pollenhoist.common;

/**
 * The name of a route to a plain service.
 *
 * <p>Example: {@code RouteName.of("bookings")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record RouteName(String value) implements Comparable<RouteName> {

    /** Checks the form of the name. */
    public RouteName {
        Names.requireValid("RouteName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static RouteName of(String value) {
        return new RouteName(value);
    }

    @Override
    public int compareTo(RouteName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
