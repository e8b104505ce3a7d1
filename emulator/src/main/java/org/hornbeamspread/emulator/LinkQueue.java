package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The chunks in flight in one direction of one connection, in order. No chunk is delivered while the link is cut; after
 * the link is healed, all chunks that became due meanwhile are delivered at once. Not thread-safe.
 *
 * @param <T> the type of a chunk
 */
final class LinkQueue<T> {
    private final DirectedLink link;
    private final Deque<ChunkInFlight<T>> chunks = new ArrayDeque<>();
    private long queuedBytes;

    LinkQueue(DirectedLink link) {
        this.link = link;
    }

    /** Adds a chunk and computes its arrival time. */
    void add(T chunk, int bytes, long nowNs) {
        chunks.add(new ChunkInFlight<>(chunk, bytes, link.scheduleArrival(bytes, nowNs)));
        queuedBytes += bytes;
    }

    /** Removes and returns the next chunk that has arrived; empty if there is none or the link is cut. */
    Optional<T> poll(long nowNs) {
        ChunkInFlight<T> head = chunks.peek();
        if (head == null || link.isCut() || head.arrivalNs() - nowNs > 0) {
            return Optional.empty();
        }
        chunks.remove();
        queuedBytes -= head.bytes();
        return Optional.of(head.chunk());
    }

    /** Time until the next chunk arrives; empty if no chunk is in flight or the link is cut. */
    OptionalLong nsUntilNextArrival(long nowNs) {
        ChunkInFlight<T> head = chunks.peek();
        return head == null || link.isCut()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, head.arrivalNs() - nowNs));
    }

    /** Bytes in flight. */
    long queuedBytes() {
        return queuedBytes;
    }

    /**
     * A chunk and its arrival time.
     *
     * @param chunk the chunk sent
     * @param bytes size of the chunk
     * @param arrivalNs arrival time
     */
    private record ChunkInFlight<T>(T chunk, int bytes, long arrivalNs) {}
}
