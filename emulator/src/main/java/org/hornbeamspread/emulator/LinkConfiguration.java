package org.hornbeamspread.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The parsed content of a link file.
 *
 * @param routes the forwarded endpoints
 * @param regions the region of each failure domain
 * @param latencyMs one-way latency by ordered pair of failure domains, in milliseconds
 * @param bandwidthBytesPerSecond bandwidth by ordered pair of regions, shared by all links of the pair
 */
record LinkConfiguration(
        List<LinkRoute> routes,
        Map<String, String> regions,
        Map<OrderedPair, Double> latencyMs,
        Map<OrderedPair, Double> bandwidthBytesPerSecond) {
    /** Copies the collections. */
    LinkConfiguration {
        routes = List.copyOf(routes);
        regions = Map.copyOf(regions);
        latencyMs = Map.copyOf(latencyMs);
        bandwidthBytesPerSecond = Map.copyOf(bandwidthBytesPerSecond);
    }

    /**
     * Links for all ordered pairs of failure domains; links of the same ordered pair of regions share their bandwidth.
     */
    Map<OrderedPair, DirectedLink> directedLinks() {
        Map<OrderedPair, SharedBandwidth> shared = new HashMap<>();
        bandwidthBytesPerSecond.forEach((pair, rate) -> shared.put(pair, SharedBandwidth.withRate(rate)));
        Map<OrderedPair, DirectedLink> links = new HashMap<>();
        for (String from : regions.keySet()) {
            for (String to : regions.keySet()) {
                OrderedPair pair = new OrderedPair(from, to);
                OrderedPair regionPair = new OrderedPair(regions.get(from), regions.get(to));
                links.put(
                        pair,
                        new DirectedLink(
                                pair,
                                !regionPair.from().equals(regionPair.to()),
                                latencyMs.getOrDefault(pair, 0.0),
                                shared.getOrDefault(regionPair, SharedBandwidth.unlimited())));
            }
        }
        return links;
    }

    /**
     * An ordered pair of failure domains, or of regions.
     *
     * @param from the sending side
     * @param to the receiving side
     */
    record OrderedPair(String from, String to) {}
}
