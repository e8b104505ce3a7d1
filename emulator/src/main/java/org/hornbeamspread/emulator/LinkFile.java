package org.hornbeamspread.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.emulator.LinkPlan.Pair;
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
final class LinkFile {
    private static final double BYTES_PER_MEGABIT = 1_000_000 / 8.0;

    private final List<LinkRoute> routes = new ArrayList<>();
    private final Map<String, String> regions = new HashMap<>();
    private final Map<Pair, Double> latencyMs = new HashMap<>();
    private final Map<Pair, Double> reverseLatencyMs = new HashMap<>();
    private final Map<Pair, Double> bandwidth = new HashMap<>();

    private LinkFile() {}

    /** Fails with INVALID_SETTING, whose detail names the line. */
    static LinkPlan parse(List<String> lines) {
        LinkFile file = new LinkFile();
        for (String line : lines) {
            String text = line.replaceFirst("#.*", "").trim();
            if (!text.isEmpty()) {
                file.addLine(text);
            }
        }
        for (LinkRoute route : file.routes) {
            file.checkDomain(route.from());
            file.checkDomain(route.to());
        }
        file.reverseLatencyMs.forEach(file.latencyMs::putIfAbsent);
        return new LinkPlan(file.routes, file.regions, file.latencyMs, file.bandwidth);
    }

    private void addLine(String line) {
        String[] words = line.split("\\s+", -1);
        if (words[0].equals("domain") && words.length == 3) {
            regions.put(words[1], words[2]);
        } else if (words[0].equals("latency") && words.length == 4) {
            latencyMs.put(new Pair(words[1], words[2]), number(words[3], line, 0));
            reverseLatencyMs.put(new Pair(words[2], words[1]), number(words[3], line, 0));
        } else if (words[0].equals("bandwidth") && words.length == 4) {
            double bytesPerSecond = number(words[3], line, Double.MIN_VALUE) * BYTES_PER_MEGABIT;
            bandwidth.put(new Pair(words[1], words[2]), bytesPerSecond);
            bandwidth.put(new Pair(words[2], words[1]), bytesPerSecond);
        } else if (words[0].startsWith("listen=")) {
            addRoute(words, line);
        } else {
            throw refused(line);
        }
    }

    private void addRoute(String[] words, String line) {
        Map<String, String> values = new HashMap<>();
        for (String word : words) {
            String[] sides = word.split("=", 2);
            values.put(sides[0], sides[sides.length - 1]);
        }
        if (!values.keySet().equals(Set.of("listen", "target", "from", "to"))) {
            throw refused(line);
        }
        Endpoint listen = AddressTranslator.parse(values.get("listen"));
        Endpoint target = AddressTranslator.parse(values.get("target"));
        routes.add(new LinkRoute(listen, target, values.get("from"), values.get("to")));
    }

    private void checkDomain(String domain) {
        if (!regions.containsKey(domain)) {
            throw refused("no domain line for " + domain);
        }
    }

    private static double number(String word, String line, double least) {
        try {
            double value = Double.parseDouble(word);
            if (value >= least) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw refused(line);
        }
        throw refused(line);
    }

    private static FailureException refused(String line) {
        return new FailureException(FailureType.INVALID_SETTING, "--link-file: " + line);
    }
}
