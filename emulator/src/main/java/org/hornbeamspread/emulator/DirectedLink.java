package org.hornbeamspread.emulator;

import java.time.Duration;

/** One direction between two failure domains: latency, bandwidth, a cut, and a count of bytes. One thread only. */
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

    /** Counts a chunk and returns when it arrives, unless the lane is cut by then. */
    long scheduleArrival(int chunkBytes, long nowNs) {
        bytes += chunkBytes;
        return bandwidth.reserve(chunkBytes, nowNs) + latencyNs;
    }

    /** Payload bytes that entered the lane. */
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
