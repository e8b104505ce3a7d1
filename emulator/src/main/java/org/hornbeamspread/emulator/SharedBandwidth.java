package org.hornbeamspread.emulator;

import java.time.Duration;

/** A transmission line that sends chunks sequentially at a fixed rate. Not thread-safe. */
final class SharedBandwidth {
    private static final double NS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    /** Transmission time of a byte; 0 if unlimited. */
    private final double nsPerByte;

    /** Time at which all reserved transmissions end; undefined before the first use. */
    private long busyUntilNs;

    private boolean used;

    private SharedBandwidth(double nsPerByte) {
        this.nsPerByte = nsPerByte;
    }

    /** A line with a fixed rate. */
    static SharedBandwidth withRate(double bytesPerSecond) {
        return new SharedBandwidth(NS_PER_SECOND / bytesPerSecond);
    }

    /** A line without transmission time. */
    static SharedBandwidth unlimited() {
        return new SharedBandwidth(0);
    }

    /** Reserves transmission time for a chunk and returns the time at which its last byte is sent. */
    long reserve(int bytes, long nowNs) {
        long startNs = used ? Math.max(nowNs, busyUntilNs) : nowNs;
        used = true;
        busyUntilNs = startNs + Math.round(bytes * nsPerByte);
        return busyUntilNs;
    }
}
