import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Recorder implements AutoCloseable {

    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void note(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f  %s%n", seconds(), String.format(Locale.ROOT, format, values));
    }

    @Override
    public void close() {
        out.close();
    }
}
