package org.pollenhoist.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to a file, with the time in milliseconds since the start. */
final class Record implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final PrintWriter lines;

    Record(Path file) {
        try {
            lines = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException unwritable) {
            throw new UncheckedIOException(unwritable);
        }
    }

    /** Returns the milliseconds since the start. */
    long now() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    synchronized void line(String format, Object... values) {
        lines.printf(Locale.ROOT, "%7d  ", now());
        lines.printf(Locale.ROOT, format, values);
        lines.println();
    }

    /** Writes a line to the file and to standard output. */
    void say(String format, Object... values) {
        line(format, values);
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    @Override
    public synchronized void close() {
        lines.close();
    }
}
