package org.pollenhoist.experiments.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Where the processes of one experiment keep their settings and logs. */
public final class WorkFolder {

    private WorkFolder() {}

    /**
     * Creates an empty folder in the system's place for temporary files.
     *
     * @return the folder
     */
    public static Path create() {
        try {
            return Files.createTempDirectory("pollenhoist-experiment");
        } catch (IOException failure) {
            throw new UncheckedIOException("no folder for logs", failure);
        }
    }
}
