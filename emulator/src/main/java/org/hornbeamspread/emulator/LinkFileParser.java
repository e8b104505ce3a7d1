package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.emulator.LinkConfiguration.OrderedPair;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.transport.AddressTranslator;

/**
 * Parses a link file. Comments start with #. The lines are:
 *
 * <pre>
 * domain DOMAIN REGION
 * latency FROM_DOMAIN TO_DOMAIN MS
 * bandwidth REGION REGION MBITPS
 * listen=HOST:PORT target=HOST:PORT from=DOMAIN to=DOMAIN
 * </pre>
 *
 * Latency and bandwidth apply to both directions; a latency line for one direction takes precedence over a line for the
 * opposite direction.
 */
final class LinkFileParser {
    private static final double BYTES_PER_MEGABIT = 1_000_000 / 8.0;

    private final List<LinkRoute> routes = new ArrayList<>();
    private final Map<String, String> regions = new HashMap<>();
    private final Map<OrderedPair, Double> latencyMs = new HashMap<>();
    private final Map<OrderedPair, Double> reverseLatencyMs = new HashMap<>();
    private final Map<OrderedPair, Double> bandwidthBytesPerSecond = new HashMap<>();

    private LinkFileParser() {}

    /** Parses the lines of a link file. Fails with INVALID_SETTING, with the invalid line in the detail. */
    static LinkConfiguration parse(List<String> lines) {
        LinkFileParser parser = new LinkFileParser();
        for (String line : lines) {
            String text = line.replaceFirst("#.*", "").trim();
            if (!text.isEmpty()) {
                parser.parseLine(text);
            }
        }
        for (LinkRoute route : parser.routes) {
            parser.checkDomain(route.from());
            parser.checkDomain(route.to());
        }
        parser.reverseLatencyMs.forEach(parser.latencyMs::putIfAbsent);
        return new LinkConfiguration(parser.routes, parser.regions, parser.latencyMs, parser.bandwidthBytesPerSecond);
    }

    private void parseLine(String line) {
        String[] fields = line.split("\\s+", -1);
        if (fields[0].equals("domain") && fields.length == 3) {
            regions.put(fields[1], fields[2]);
        } else if (fields[0].equals("latency") && fields.length == 4) {
            latencyMs.put(new OrderedPair(fields[1], fields[2]), parseNumber(fields[3], line, 0));
            reverseLatencyMs.put(new OrderedPair(fields[2], fields[1]), parseNumber(fields[3], line, 0));
        } else if (fields[0].equals("bandwidth") && fields.length == 4) {
            double bytesPerSecond = parseNumber(fields[3], line, Double.MIN_VALUE) * BYTES_PER_MEGABIT;
            bandwidthBytesPerSecond.put(new OrderedPair(fields[1], fields[2]), bytesPerSecond);
            bandwidthBytesPerSecond.put(new OrderedPair(fields[2], fields[1]), bytesPerSecond);
        } else if (fields[0].startsWith("listen=")) {
            parseRoute(fields, line);
        } else {
            throw invalidLine(line);
        }
    }

    private void parseRoute(String[] fields, String line) {
        Map<String, String> values = new HashMap<>();
        for (String field : fields) {
            String[] parts = field.split("=", 2);
            values.put(parts[0], parts[parts.length - 1]);
        }
        if (!values.keySet().equals(Set.of("listen", "target", "from", "to"))) {
            throw invalidLine(line);
        }
        Endpoint listen = AddressTranslator.parse(values.get("listen"));
        Endpoint target = AddressTranslator.parse(values.get("target"));
        routes.add(new LinkRoute(listen, target, values.get("from"), values.get("to")));
    }

    private void checkDomain(String domain) {
        if (!regions.containsKey(domain)) {
            throw invalidLine("no domain line for failure domain " + domain);
        }
    }

    private static double parseNumber(String text, String line, double minimum) {
        try {
            double value = Double.parseDouble(text);
            if (value >= minimum) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw invalidLine(line);
        }
        throw invalidLine(line);
    }

    private static FailureException invalidLine(String line) {
        return new FailureException(FailureType.INVALID_SETTING, "--link-file, invalid line: " + line);
    }
}
