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
    private static final int MAX_PENDING_POSITIONS = 64;
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    private final Deque<PrimaryPosition> pendingPositions = new ArrayDeque<>();

    /** Smoothed, negative until the first measurement. */
    private double smoothedNs = -1;

    /** The primary reported a position. */
    public void recordPrimaryPosition(LogPosition position, Instant now) {
        PrimaryPosition last = pendingPositions.peekLast();
        if (last != null && last.position.covers(position)) {
            return;
        }
        if (pendingPositions.size() < MAX_PENDING_POSITIONS) {
            pendingPositions.addLast(new PrimaryPosition(position, now));
        }
    }

    /** The replica reported what it has applied. */
    public void recordReplicaPosition(LogPosition applied, Instant now) {
        while (!pendingPositions.isEmpty() && applied.covers(pendingPositions.peekFirst().position)) {
            long lagNs = Duration.between(pendingPositions.removeFirst().reportedAt, now)
                    .toNanos();
            smoothedNs = smoothedNs < 0 ? lagNs : smoothedNs + NEW_SAMPLE_WEIGHT * (lagNs - smoothedNs);
        }
    }

    /** The usual lag: at least what the oldest write that is still missing has waited; empty when nothing is known. */
    public Optional<Duration> typicalLag(Instant now) {
        long waitedNs = pendingPositions.isEmpty()
                ? 0
                : Duration.between(pendingPositions.peekFirst().reportedAt, now).toNanos();
        if (smoothedNs < 0 && waitedNs == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(Math.max(waitedNs, (long) smoothedNs)));
    }

    private record PrimaryPosition(LogPosition position, Instant reportedAt) {}
}
