package org.hornbeamspread.ctl;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Configuration;

/** Reads a group file: the JSON mapping of Configuration, with unknown fields refused. */
final class ConfigurationFile {
    private static final Pattern UNKNOWN_FIELD = Pattern.compile("Cannot find field: (\\S+)");
    private static final Pattern INVALID_VALUE = Pattern.compile("[Nn]ot an? [^:]+: (\\S+)");
    private static final Pattern PARSER_LINE = Pattern.compile("line (\\d+) column");

    private ConfigurationFile() {}

    /** Fails with INVALID_SETTING when the file can't be read, INVALID_CONFIGURATION with place and reason otherwise. */
    static Configuration read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "can't read " + file, e);
        }
        return parse(file.toString(), text);
    }

    /** Parses a file's text; the name is for messages. */
    static Configuration parse(String name, String text) {
        Configuration.Builder builder = Configuration.newBuilder();
        try {
            JsonFormat.parser().merge(text, builder);
        } catch (InvalidProtocolBufferException e) {
            String reason = String.valueOf(e.getMessage());
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION, name + ":" + errorLine(text, reason) + ": " + reason);
        }
        return builder.build();
    }

    /** The line a parser's message is about: the one it names, else the first that holds the word it names, else 1. */
    private static int errorLine(String text, String reason) {
        Matcher place = PARSER_LINE.matcher(reason);
        if (place.find()) {
            return Integer.parseInt(place.group(1));
        }
        for (Pattern pattern : new Pattern[] {UNKNOWN_FIELD, INVALID_VALUE}) {
            Matcher named = pattern.matcher(reason);
            if (named.find()) {
                int at = text.indexOf(named.group(1).replace("\"", ""));
                return at < 0 ? 1 : (int) text.substring(0, at).lines().count();
            }
        }
        return 1;
    }
}
