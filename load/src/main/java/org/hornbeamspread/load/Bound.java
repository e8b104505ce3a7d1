package org.hornbeamspread.load;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A regression bound on reports, as a line of a bounds file:
 *
 * <pre>NAME: REPORT.FIELD / REPORT.FIELD >= NUMBER</pre>
 *
 * The divisor may be a number, such as a target; a field of a rank is {@code byRank.urgent.p99Ms}. Ratios to another run
 * on the same machine hold on a faster or busier one too.
 *
 * @param name what is bounded
 * @param dividend a field of a report
 * @param divisor a field of a report, or a number
 * @param atLeast whether the bound is a lower one
 * @param limit the bound
 */
record Bound(String name, String dividend, String divisor, boolean atLeast, double limit) {
    private static final Pattern LINE =
            Pattern.compile("([a-z0-9-]+):\\s+(\\S+)\\s+/\\s+(\\S+)\\s+(>=|<=)\\s+([0-9.]+)");
    private static final Pattern NUMBER = Pattern.compile("[0-9.]+");

    /** Reads a line. Fails with INVALID_SETTING. */
    static Bound parse(String line) {
        Matcher parts = LINE.matcher(line.strip());
        if (!parts.matches()) {
            throw new FailureException(
                    FailureType.INVALID_SETTING, "not NAME: REPORT.FIELD / REPORT.FIELD >= NUMBER: " + line);
        }
        return new Bound(
                parts.group(1),
                parts.group(2),
                parts.group(3),
                parts.group(4).equals(">="),
                Double.parseDouble(parts.group(5)));
    }

    /** The ratio in reports by name. Fails with INVALID_SETTING when a report or field is missing. */
    double value(Map<String, JsonObject> reports) {
        return resolveNumber(dividend, reports) / resolveNumber(divisor, reports);
    }

    /** Whether a ratio keeps the bound. A ratio that is not a number does not. */
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
            throw new FailureException(FailureType.INVALID_SETTING, "no number at " + field);
        }
        return element.getAsDouble();
    }
}
