package org.hornbeamspread.transport;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of a transport's connections. Thread-safe. */
public final class TransportCounters {
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong silent = new AtomicLong();
    private final AtomicLong overflowed = new AtomicLong();
    private final AtomicLong droppedFrames = new AtomicLong();

    /** The number of accepted connections that are open. */
    public long acceptedConnections() {
        return accepted.get();
    }

    /** The number of connections refused because too many were open. */
    public long refusedConnections() {
        return refused.get();
    }

    /** The number of connections closed because no bytes arrived any more. */
    public long silentConnections() {
        return silent.get();
    }

    /** The number of connections closed because the peer took no more bytes. */
    public long overflowedConnections() {
        return overflowed.get();
    }

    /** The number of connections closed because incomplete frames took too much memory together. */
    public long droppedFrames() {
        return droppedFrames.get();
    }

    /** Counts an accepted connection unless that would exceed the maximum. */
    boolean tryAccept(long maxConnections) {
        if (accepted.incrementAndGet() <= maxConnections) {
            return true;
        }
        accepted.decrementAndGet();
        refused.incrementAndGet();
        return false;
    }

    void onAcceptedClosed() {
        accepted.decrementAndGet();
    }

    void onSilence() {
        silent.incrementAndGet();
    }

    void onOverflow() {
        overflowed.incrementAndGet();
    }

    void onFrameDropped() {
        droppedFrames.incrementAndGet();
    }
}
