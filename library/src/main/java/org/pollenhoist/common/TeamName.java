package org.pollenhoist.common;

/**
 * The name of a team: a tenant of the fleet with its own keys and limits.
 *
 * <p>Example: {@code TeamName.of("harbour-crews")}.
 *
 * @param value 1 to 63 lower-case letters, digits, dots, underscores or hyphens, the first one a letter or digit
 */
public record TeamName(String value) implements Comparable<TeamName> {

    /** Checks the form of the name. */
    public TeamName {
        Names.requireValid("TeamName", value);
    }

    /**
     * Returns the name with the given text.
     *
     * @param value the text
     * @return the name
     * @throws PollenhoistException with {@link ErrorCode#INVALID_NAME} where the text has another form
     */
    public static TeamName of(String value) {
        return new TeamName(value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
