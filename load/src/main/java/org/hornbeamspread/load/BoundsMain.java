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

/** Checks a directory of reports, each {@code NAME.json}, against a file of {@link Bound}s. Used by bin/bench. */
public final class BoundsMain {
    private BoundsMain() {}

    /** Exits with 0 when every bound is satisfied, 1 when one is violated, 2 when a file or a field is missing. */
    public static void main(String[] arguments) {
        System.exit(run(Path.of(arguments[0]), Path.of(arguments[1]), System.out));
    }

    /** Checks the bounds and returns the exit code. */
    static int run(Path reportDirectory, Path boundsFile, PrintStream out) {
        try {
            Map<String, JsonObject> reports = reports(reportDirectory);
            boolean satisfied = true;
            for (String line : Files.readAllLines(boundsFile)) {
                if (!line.isBlank() && !line.startsWith("#")) {
                    satisfied &= check(Bound.parse(line), reports, out);
                }
            }
            return satisfied ? 0 : 1;
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
        boolean satisfied = bound.isSatisfiedBy(value);
        out.println(String.format(
                Locale.ROOT,
                "%-8s %-36s %8.3f, bound %s %.3f",
                satisfied ? "kept" : "BROKEN",
                bound.name(),
                value,
                bound.atLeast() ? "at least" : "at most",
                bound.limit()));
        return satisfied;
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
