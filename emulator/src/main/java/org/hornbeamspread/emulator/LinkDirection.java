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
final class LinkDirection<T> {
    private final LinkLane lane;
    private final Deque<UnderWay<T>> chunks = new ArrayDeque<>();
    private long queuedBytes;

    LinkDirection(LinkLane lane) {
        this.lane = lane;
    }

    /** Sends a chunk. */
    void add(T chunk, int bytes, long nowNs) {
        chunks.add(new UnderWay<>(chunk, bytes, lane.send(bytes, nowNs)));
        queuedBytes += bytes;
    }

    /** The next chunk that has arrived. */
    Optional<T> poll(long nowNs) {
        UnderWay<T> head = chunks.peek();
        if (head == null || lane.isCut() || head.dueNs() - nowNs > 0) {
            return Optional.empty();
        }
        chunks.remove();
        queuedBytes -= head.bytes();
        return Optional.of(head.chunk());
    }

    /** How long until the next chunk arrives; empty when nothing is under way or the lane is cut. */
    OptionalLong waitNs(long nowNs) {
        UnderWay<T> head = chunks.peek();
        return head == null || lane.isCut() ? OptionalLong.empty() : OptionalLong.of(Math.max(0, head.dueNs() - nowNs));
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
    private record UnderWay<T>(T chunk, int bytes, long dueNs) {}
}
