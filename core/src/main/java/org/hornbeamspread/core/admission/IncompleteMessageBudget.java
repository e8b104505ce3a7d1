package org.hornbeamspread.core.admission;

import java.time.Clock;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the memory of incomplete messages over all connections of a process.
 *
 * <p>Guards against clients that send a part of a large message and pause: each connection stays below the limit of a message, and
 * together they exhaust the heap. While the total exceeds the limit, the connection with the largest product of bytes and age is
 * evicted. A message in transfer is therefore kept beside paused ones of its size, and the many short remainders at packet
 * boundaries are kept beside a large paused one. Confined to one thread.
 */
public final class IncompleteMessageBudget {
    /** A connection whose last message is incomplete. */
    public interface Holder {
        /** Drops the incomplete message. The connection no longer counts when this is called. */
        void onEvicted();
    }

    private record Retained(long bytes, long sinceMs) {}

    private final long limitBytes;
    private final Clock clock;
    private final Map<Holder, Retained> retained = new LinkedHashMap<>();
    private long totalBytes;

    /**
     * Creates a budget.
     *
     * @param limitBytes the limit of all incomplete messages together; at least the memory of the longest message, which would
     * otherwise be evicted without competition
     * @param clock a monotonic clock, for the age of incomplete messages
     */
    public IncompleteMessageBudget(long limitBytes, Clock clock) {
        this.limitBytes = limitBytes;
        this.clock = clock;
    }

    /** Records the memory of a connection's incomplete message, and evicts connections while the limit is exceeded. */
    public void retain(Holder holder, long bytes) {
        Retained previous = retained.get(holder);
        retained.put(holder, new Retained(bytes, previous == null ? clock.millis() : previous.sinceMs()));
        totalBytes += bytes - (previous == null ? 0 : previous.bytes());
        while (totalBytes > limitBytes) {
            evictOne();
        }
    }

    /** Records that a connection holds no incomplete message. */
    public void release(Holder holder) {
        Retained previous = retained.remove(holder);
        if (previous != null) {
            totalBytes -= previous.bytes();
        }
    }

    /** The memory of all incomplete messages. */
    public long totalBytes() {
        return totalBytes;
    }

    private void evictOne() {
        long nowMs = clock.millis();
        Holder evicted = retained.entrySet().stream()
                .max(Comparator.comparingLong(entry ->
                        entry.getValue().bytes() * (1 + nowMs - entry.getValue().sinceMs())))
                .orElseThrow()
                .getKey();
        release(evicted);
        evicted.onEvicted();
    }
}
