package org.hornbeamspread.emulator;

import java.time.Duration;

/**
 * The emulated link from one failure domain to another: latency, bandwidth, cut state and byte count. Not thread-safe.
 */
final class DirectedLink {
    private static final long NS_PER_MS = Duration.ofMillis(1).toNanos();

    private final LinkConfiguration.OrderedPair pair;
    private final boolean interRegion;
    private final long latencyNs;
    private final SharedBandwidth bandwidth;
    private boolean cut;
    private long bytes;

    DirectedLink(LinkConfiguration.OrderedPair pair, boolean interRegion, double latencyMs, SharedBandwidth bandwidth) {
        this.pair = pair;
        this.interRegion = interRegion;
        this.latencyNs = Math.round(latencyMs * NS_PER_MS);
        this.bandwidth = bandwidth;
    }

    LinkConfiguration.OrderedPair pair() {
        return pair;
    }

    boolean interRegion() {
        return interRegion;
    }

    /** Counts the bytes of a chunk and returns its arrival time; the arrival is delayed while the link is cut. */
    long scheduleArrival(int chunkBytes, long nowNs) {
        bytes += chunkBytes;
        return bandwidth.reserve(chunkBytes, nowNs) + latencyNs;
    }

    /** Payload bytes sent over the link. */
    long bytes() {
        return bytes;
    }

    boolean isCut() {
        return cut;
    }

    void setCut(boolean isCut) {
        this.cut = isCut;
    }
}
