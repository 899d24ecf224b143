package org.pollenhoist.common;

import java.util.regex.Pattern;

/** The one form that all names share, so that they pass unchanged through files, headers, logs and metrics. */
final class Names {

    private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private Names() {}

    static void requireValid(String kind, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw PollenhoistException.invalidName(kind, value);
        }
    }
}
