package org.hornbeamspread.load;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.CommandLine;

/** Checks a directory of reports, each {@code NAME.json}, against a file of {@link Bound}s. Part of bin/bench. */
public final class BoundsMain {
    private BoundsMain() {}

    /** Exits with 0 when every bound is kept, 1 when one is not, 2 when a file or field is missing. */
    public static void main(String[] arguments) {
        System.exit(run(Path.of(arguments[0]), Path.of(arguments[1]), System.out));
    }

    /** Checks and returns the exit code. */
    static int run(Path reportDirectory, Path boundsFile, PrintStream out) {
        try {
            Map<String, JsonObject> reports = reports(reportDirectory);
            boolean kept = true;
            for (String line : Files.readAllLines(boundsFile)) {
                if (!line.isBlank() && !line.startsWith("#")) {
                    kept &= check(Bound.parse(line), reports, out);
                }
            }
            return kept ? 0 : 1;
        } catch (FailureException e) {
            out.println(e.getMessage());
            return CommandLine.EXIT_USAGE;
        } catch (IOException e) {
            out.println(new FailureException(FailureType.INVALID_SETTING, "can't read " + e.getMessage()).getMessage());
            return CommandLine.EXIT_USAGE;
        }
    }

    private static boolean check(Bound bound, Map<String, JsonObject> reports, PrintStream out) {
        double value = bound.value(reports);
        boolean kept = bound.isSatisfiedBy(value);
        out.println(String.format(
                Locale.ROOT,
                "%-8s %-36s %8.3f, bound %s %.3f",
                kept ? "kept" : "BROKEN",
                bound.name(),
                value,
                bound.atLeast() ? "at least" : "at most",
                bound.limit()));
        return kept;
    }

    private static Map<String, JsonObject> reports(Path directory) throws IOException {
        Map<String, JsonObject> reports = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory, "*.json")) {
            for (Path file : files) {
                String name = String.valueOf(file.getFileName()).replaceFirst("\\.json$", "");
                reports.put(name, JsonParser.parseString(Files.readString(file)).getAsJsonObject());
            }
        }
        return reports;
    }
}
