package org.pollenhoist.commandline;

/** How answers are printed. */
enum OutputFormat {
    /** Columns for people. */
    table,
    /** One JSON value for programs. */
    json
}
