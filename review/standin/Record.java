package review.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    synchronized void write(String who, String what) {
        String shown = what.length() > 300 ? what.substring(0, 300) + "... (" + what.length() + " characters)" : what;
        out.println(nowMs() + " ms " + who + ": " + shown.replace("\r", "\\r").replace("\n", "\\n"));
        out.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
