package org.hornbeamspread.runtime;

import java.io.PrintStream;
import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.ParserProperties;

/**
 * Reads settings from flags and environment variables into an annotated options object. The variable of {@code
 * --http-endpoint} is {@code HORNBEAMSPREAD_HTTP_ENDPOINT}; a flag takes precedence over its variable.
 */
public final class CommandLine {
    /** The exit code of a process whose settings are invalid. */
    public static final int EXIT_USAGE = 2;

    /** The version that {@code --version} prints. */
    public static final String VERSION = "0.1.0";

    private static final String VARIABLE_PREFIX = "HORNBEAMSPREAD_";
    private static final int USAGE_WIDTH_COLUMNS = 110;

    private CommandLine() {}

    /** Fills an options object. Fails with INVALID_SETTING, whose detail names the setting and the allowed values. */
    public static <T> T parse(T options, Map<String, String> environment, String... arguments) {
        List<String> mergedArguments = new ArrayList<>();
        for (Field field : options.getClass().getDeclaredFields()) {
            Option option = field.getAnnotation(Option.class);
            if (option == null || List.of(arguments).contains(option.name())) {
                continue;
            }
            String value = environment.get(environmentVariable(option.name()));
            if (value != null && field.getType() != boolean.class) {
                mergedArguments.add(option.name());
                mergedArguments.add(value);
            } else if (Boolean.parseBoolean(value)) {
                mergedArguments.add(option.name());
            }
        }
        mergedArguments.addAll(List.of(arguments));
        try {
            parser(options).parseArgument(mergedArguments);
        } catch (CmdLineException e) {
            throw new FailureException(FailureType.INVALID_SETTING, String.valueOf(e.getMessage()));
        }
        return options;
    }

    /** Prints every flag with its environment variable. */
    public static void printHelp(String binary, Object options, PrintStream out) {
        out.println("Usage: " + binary + " [flags]; each flag is also an environment variable: --some-name is "
                + VARIABLE_PREFIX + "SOME_NAME");
        parser(options).printUsage(out);
    }

    /** The environment variable of a flag. */
    public static String environmentVariable(String flag) {
        return VARIABLE_PREFIX + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    /**
     * Handles {@code --help} and {@code --version}. Returns true when one of them was given and its text printed; the
     * process then exits with 0.
     */
    public static boolean printHelpOrVersion(String binary, Object options, PrintStream out, String... arguments) {
        List<String> given = List.of(arguments);
        if (given.contains("--help")) {
            printHelp(binary, options, out);
            return true;
        }
        if (given.contains("--version")) {
            out.println(binary + " " + VERSION);
            return true;
        }
        return false;
    }

    private static CmdLineParser parser(Object options) {
        return new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH_COLUMNS));
    }
}
