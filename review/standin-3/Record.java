import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The record of a run: one line for each thing that was sent, answered or run, with the time since the start. Thread-safe. */
final class Record {
    private final Path file;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        this.file = file;
        Files.writeString(file, "");
    }

    synchronized void add(String line) {
        String text = String.format("%9.3f s  %s%n", elapsedMs() / 1000.0, line);
        try {
            Files.writeString(file, text, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long elapsedMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }
}
