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

/** Reads a group file: the JSON mapping of Configuration. A file with unknown fields is refused. */
final class ConfigurationFile {
    private static final Pattern UNKNOWN_FIELD = Pattern.compile("Cannot find field: (\\S+)");
    private static final Pattern INVALID_VALUE = Pattern.compile("[Nn]ot an? [^:]+: (\\S+)");
    private static final Pattern PARSER_LINE = Pattern.compile("line (\\d+) column");

    private ConfigurationFile() {}

    /**
     * Reads a configuration. Fails with INVALID_SETTING when the file cannot be read, and with INVALID_CONFIGURATION,
     * whose detail gives the line and the reason, when its text is invalid.
     */
    static Configuration read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "cannot read " + file, e);
        }
        return parse(file.toString(), text);
    }

    /** Parses the text of a file; the file name is used in messages. */
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

    /**
     * The line of a parser error: the line in the parser's message, else the first line that contains the field or value
     * in the message, else 1.
     */
    private static int errorLine(String text, String reason) {
        Matcher position = PARSER_LINE.matcher(reason);
        if (position.find()) {
            return Integer.parseInt(position.group(1));
        }
        for (Pattern pattern : new Pattern[] {UNKNOWN_FIELD, INVALID_VALUE}) {
            Matcher fieldOrValue = pattern.matcher(reason);
            if (fieldOrValue.find()) {
                int offset = text.indexOf(fieldOrValue.group(1).replace("\"", ""));
                return offset < 0 ? 1 : (int) text.substring(0, offset).lines().count();
            }
        }
        return 1;
    }
}
