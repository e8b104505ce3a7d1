package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The chunks under way in one direction of one connection, in order. While the lane is cut nothing comes out; after it
 * is healed everything that was held comes out at once. One thread only.
 *
 * @param <T> a chunk
 */
final class LinkQueue<T> {
    private final DirectedLink link;
    private final Deque<ChunkInFlight<T>> chunks = new ArrayDeque<>();
    private long queuedBytes;

    LinkQueue(DirectedLink lane) {
        this.link = lane;
    }

    /** Sends a chunk. */
    void add(T chunk, int bytes, long nowNs) {
        chunks.add(new ChunkInFlight<>(chunk, bytes, link.scheduleArrival(bytes, nowNs)));
        queuedBytes += bytes;
    }

    /** The next chunk that has arrived. */
    Optional<T> poll(long nowNs) {
        ChunkInFlight<T> head = chunks.peek();
        if (head == null || link.isCut() || head.arrivalNs() - nowNs > 0) {
            return Optional.empty();
        }
        chunks.remove();
        queuedBytes -= head.bytes();
        return Optional.of(head.chunk());
    }

    /** How long until the next chunk arrives; empty when nothing is under way or the lane is cut. */
    OptionalLong nsUntilNextArrival(long nowNs) {
        ChunkInFlight<T> head = chunks.peek();
        return head == null || link.isCut()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, head.arrivalNs() - nowNs));
    }

    /** Bytes under way. */
    long queuedBytes() {
        return queuedBytes;
    }

    /**
     * A chunk and its arrival.
     *
     * @param chunk what was sent
     * @param bytes its size
     * @param dueNs when it arrives
     */
    private record ChunkInFlight<T>(T chunk, int bytes, long arrivalNs) {}
}
