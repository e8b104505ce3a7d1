package org.hornbeamspread.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A regression bound on the ratio of two report fields, as a line of a bounds file:
 *
 * <pre>NAME: REPORT.FIELD / REPORT.FIELD >= NUMBER</pre>
 *
 * The divisor may be a number, such as a target. A field of a rank is written as {@code byRank.urgent.p99Ms}. A ratio
 * to another run on the same machine stays comparable on a faster or busier machine.
 *
 * @param name the name of the bound
 * @param dividend a field of a report
 * @param divisor a field of a report, or a number
 * @param atLeast whether the limit is a lower bound; else an upper bound
 * @param limit the limit of the ratio
 */
record Bound(String name, String dividend, String divisor, boolean atLeast, double limit) {
    private static final Pattern LINE =
            Pattern.compile("([a-z0-9-]+):\\s+(\\S+)\\s+/\\s+(\\S+)\\s+(>=|<=)\\s+([0-9.]+)");
    private static final Pattern NUMBER = Pattern.compile("[0-9.]+");

    /** Parses a line. Fails with INVALID_SETTING. */
    static Bound parse(String line) {
        Matcher parts = LINE.matcher(line.strip());
        if (!parts.matches()) {
            throw new FailureException(
                    FailureType.INVALID_SETTING,
                    "expected NAME: REPORT.FIELD / REPORT.FIELD >= NUMBER (or <=), not " + line);
        }
        return new Bound(
                parts.group(1),
                parts.group(2),
                parts.group(3),
                parts.group(4).equals(">="),
                Double.parseDouble(parts.group(5)));
    }

    /** The ratio, from reports by name. Fails with INVALID_SETTING when a report or a field is missing. */
    double value(Map<String, JsonObject> reports) {
        return resolveNumber(dividend, reports) / resolveNumber(divisor, reports);
    }

    /** Whether a ratio satisfies the bound. NaN satisfies no bound. */
    boolean isSatisfiedBy(double value) {
        return atLeast ? value >= limit : value <= limit;
    }

    private static double resolveNumber(String field, Map<String, JsonObject> reports) {
        if (NUMBER.matcher(field).matches()) {
            return Double.parseDouble(field);
        }
        String[] path = field.split("\\.", -1);
        JsonElement element = reports.get(path[0]);
        for (int i = 1; i < path.length && element != null; i++) {
            element = element.isJsonObject() ? element.getAsJsonObject().get(path[i]) : null;
        }
        if (element == null || !element.isJsonPrimitive()) {
            throw new FailureException(FailureType.INVALID_SETTING, "no number in the reports at " + field);
        }
        return element.getAsDouble();
    }
}
