package org.pollenhoist.common;

/**
 * The name of a named profile, under which a service runs its requests.
 *
 * <p>Example: {@code ProfileName.of("quay-briefing")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record ProfileName(String value) implements Comparable<ProfileName> {

    /** Checks the form of the name. */
    public ProfileName {
        Names.requireValid("ProfileName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static ProfileName of(String value) {
        return new ProfileName(value);
    }

    @Override
    public int compareTo(ProfileName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
