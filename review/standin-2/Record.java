package review.standin2;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, each line with the milliseconds since the start. Thread-safe. */
final class Record implements AutoCloseable {
    private final long startNs = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) {
        try {
            writer = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        writer.println((System.nanoTime() - startNs) / 1_000_000 + " " + text);
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
