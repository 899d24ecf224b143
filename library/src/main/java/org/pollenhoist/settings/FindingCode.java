package org.pollenhoist.settings;

import java.util.Locale;

/** The stable kinds of findings. */
public enum FindingCode {
    /** The file or folder can't be read. */
    UNREADABLE,
    /** The text is not TOML. */
    SYNTAX,
    /** The key has no meaning here. */
    UNKNOWN_KEY,
    /** A key that has no default is absent. */
    MISSING,
    /** The value has another type. */
    WRONG_TYPE,
    /** The value has the right type and is not allowed. */
    NOT_ALLOWED,
    /** The name was given before. */
    DUPLICATE,
    /** The value names something that does not exist. */
    UNKNOWN_REFERENCE,
    /** Values that are allowed by themselves contradict each other. */
    INCONSISTENT;

    /**
     * Returns the code as it stands in messages.
     *
     * @return the code in lower case with underscores
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
