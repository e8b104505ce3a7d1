package org.hornbeamspread.emulator;

import java.time.Duration;

/** A wire that sends one chunk after another at a fixed rate. One thread only. */
final class SharedBandwidth {
    private static final double NS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Time on the wire of a byte; 0 when unlimited. */
    private final double nsPerByte;

    /** When the wire has sent everything that was given to it; meaningless while it was never used. */
    private long busyUntilNs;

    private boolean used;

    private SharedBandwidth(double nsPerByte) {
        this.nsPerByte = nsPerByte;
    }

    /** A wire of a rate. */
    static SharedBandwidth withRate(double bytesPerSecond) {
        return new SharedBandwidth(NS_PER_SECOND / bytesPerSecond);
    }

    /** A wire that takes no time. */
    static SharedBandwidth unlimited() {
        return new SharedBandwidth(0);
    }

    /** Gives a chunk to the wire and returns when its last byte has left. */
    long reserve(int bytes, long nowNs) {
        long startNs = used ? Math.max(nowNs, busyUntilNs) : nowNs;
        used = true;
        busyUntilNs = startNs + Math.round(bytes * nsPerByte);
        return busyUntilNs;
    }
}
