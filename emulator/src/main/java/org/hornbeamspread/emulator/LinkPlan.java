package org.hornbeamspread.emulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What a link file says.
 *
 * @param routes the forwarded endpoints
 * @param regions the region of each failure domain
 * @param latencyMs one-way latency by ordered pair of failure domains, in milliseconds
 * @param bandwidthBytesPerSecond bandwidth by ordered pair of regions, shared by all its links
 */
record LinkPlan(
        List<LinkRoute> routes,
        Map<String, String> regions,
        Map<Pair, Double> latencyMs,
        Map<Pair, Double> bandwidthBytesPerSecond) {
    /** Copies its parts. */
    LinkPlan {
        routes = List.copyOf(routes);
        regions = Map.copyOf(regions);
        latencyMs = Map.copyOf(latencyMs);
        bandwidthBytesPerSecond = Map.copyOf(bandwidthBytesPerSecond);
    }

    /** The lanes between every two failure domains; lanes of the same ordered pair of regions share their bandwidth. */
    Map<Pair, LinkLane> lanes() {
        Map<Pair, SharedBandwidth> shared = new HashMap<>();
        bandwidthBytesPerSecond.forEach((pair, rate) -> shared.put(pair, SharedBandwidth.of(rate)));
        Map<Pair, LinkLane> lanes = new HashMap<>();
        for (String from : regions.keySet()) {
            for (String to : regions.keySet()) {
                Pair pair = new Pair(from, to);
                Pair regionPair = new Pair(regions.get(from), regions.get(to));
                lanes.put(
                        pair,
                        new LinkLane(
                                pair,
                                !regionPair.from().equals(regionPair.to()),
                                latencyMs.getOrDefault(pair, 0.0),
                                shared.getOrDefault(regionPair, SharedBandwidth.unlimited())));
            }
        }
        return lanes;
    }

    /**
     * An ordered pair of failure domains, or of regions.
     *
     * @param from where bytes leave
     * @param to where they arrive
     */
    record Pair(String from, String to) {}
}
