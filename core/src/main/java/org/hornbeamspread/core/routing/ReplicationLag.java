package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Estimates how long a write takes from the primary to one replica: the time between the primary's report of a position
 * and the replica's, smoothed. An estimate for choosing, never a proof of age. Not safe for use by several threads.
 */
public final class ReplicationLag {
    private static final int MAX_WAITING = 64;
    private static final double NEW_WEIGHT = 0.2;

    private final Deque<Seen> primarySeen = new ArrayDeque<>();

    /** Smoothed, negative until the first measurement. */
    private double smoothedNs = -1;

    /** The primary reported a position. */
    public void primaryAt(LogPosition position, Instant now) {
        Seen last = primarySeen.peekLast();
        if (last != null && last.position.covers(position)) {
            return;
        }
        if (primarySeen.size() < MAX_WAITING) {
            primarySeen.addLast(new Seen(position, now));
        }
    }

    /** The replica reported what it has applied. */
    public void replicaAt(LogPosition applied, Instant now) {
        while (!primarySeen.isEmpty() && applied.covers(primarySeen.peekFirst().position)) {
            long lagNs = Duration.between(primarySeen.removeFirst().at, now).toNanos();
            smoothedNs = smoothedNs < 0 ? lagNs : smoothedNs + NEW_WEIGHT * (lagNs - smoothedNs);
        }
    }

    /** The usual lag: at least what the oldest write that is still missing has waited; empty when nothing is known. */
    public Optional<Duration> typical(Instant now) {
        long waitedNs = primarySeen.isEmpty()
                ? 0
                : Duration.between(primarySeen.peekFirst().at, now).toNanos();
        if (smoothedNs < 0 && waitedNs == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(Math.max(waitedNs, (long) smoothedNs)));
    }

    private record Seen(LogPosition position, Instant at) {}
}
