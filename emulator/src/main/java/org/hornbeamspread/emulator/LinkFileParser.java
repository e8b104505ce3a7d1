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
 * Reads a link file. Its lines are, with # for comments:
 *
 * <pre>
 * domain DOMAIN REGION
 * latency FROM_DOMAIN TO_DOMAIN MS
 * bandwidth REGION REGION MBITPS
 * listen=HOST:PORT target=HOST:PORT from=DOMAIN to=DOMAIN
 * </pre>
 *
 * Latency and bandwidth hold for both directions; a direction's own latency line wins over the other's.
 */
final class LinkFileParser {
    private static final double BYTES_PER_MEGABIT = 1_000_000 / 8.0;

    private final List<LinkRoute> routes = new ArrayList<>();
    private final Map<String, String> regions = new HashMap<>();
    private final Map<OrderedPair, Double> latencyMs = new HashMap<>();
    private final Map<OrderedPair, Double> reverseLatencyMs = new HashMap<>();
    private final Map<OrderedPair, Double> bandwidthBytesPerSecond = new HashMap<>();

    private LinkFileParser() {}

    /** Fails with INVALID_SETTING, whose detail names the line. */
    static LinkConfiguration parse(List<String> lines) {
        LinkFileParser file = new LinkFileParser();
        for (String line : lines) {
            String text = line.replaceFirst("#.*", "").trim();
            if (!text.isEmpty()) {
                file.parseLine(text);
            }
        }
        for (LinkRoute route : file.routes) {
            file.checkDomain(route.from());
            file.checkDomain(route.to());
        }
        file.reverseLatencyMs.forEach(file.latencyMs::putIfAbsent);
        return new LinkConfiguration(file.routes, file.regions, file.latencyMs, file.bandwidthBytesPerSecond);
    }

    private void parseLine(String line) {
        String[] words = line.split("\\s+", -1);
        if (words[0].equals("domain") && words.length == 3) {
            regions.put(words[1], words[2]);
        } else if (words[0].equals("latency") && words.length == 4) {
            latencyMs.put(new OrderedPair(words[1], words[2]), parseNumber(words[3], line, 0));
            reverseLatencyMs.put(new OrderedPair(words[2], words[1]), parseNumber(words[3], line, 0));
        } else if (words[0].equals("bandwidth") && words.length == 4) {
            double bytesPerSecond = parseNumber(words[3], line, Double.MIN_VALUE) * BYTES_PER_MEGABIT;
            bandwidthBytesPerSecond.put(new OrderedPair(words[1], words[2]), bytesPerSecond);
            bandwidthBytesPerSecond.put(new OrderedPair(words[2], words[1]), bytesPerSecond);
        } else if (words[0].startsWith("listen=")) {
            parseRoute(words, line);
        } else {
            throw invalidLine(line);
        }
    }

    private void parseRoute(String[] words, String line) {
        Map<String, String> values = new HashMap<>();
        for (String word : words) {
            String[] sides = word.split("=", 2);
            values.put(sides[0], sides[sides.length - 1]);
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
            throw invalidLine("no domain line for " + domain);
        }
    }

    private static double parseNumber(String word, String line, double least) {
        try {
            double value = Double.parseDouble(word);
            if (value >= least) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw invalidLine(line);
        }
        throw invalidLine(line);
    }

    private static FailureException invalidLine(String line) {
        return new FailureException(FailureType.INVALID_SETTING, "--link-file: " + line);
    }
}
