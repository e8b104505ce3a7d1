package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Estimates the replication lag of one replica: the time between the primary's report of a position and the replica's
 * report that it has applied that position, smoothed. The estimate serves to select a database and never proves a
 * staleness. Not thread-safe.
 */
public final class ReplicationLag {
    private static final int MAX_PENDING_POSITIONS = 64;
    private static final double NEW_SAMPLE_WEIGHT = 0.2;

    private final Deque<PendingPosition> pendingPositions = new ArrayDeque<>();

    /** Exponentially smoothed lag; negative until the first sample. */
    private double smoothedNs = -1;

    /** Records a position that the primary reported. */
    public void recordPrimaryPosition(LogPosition position, Instant now) {
        PendingPosition last = pendingPositions.peekLast();
        if (last != null && last.position.covers(position)) {
            return;
        }
        if (pendingPositions.size() < MAX_PENDING_POSITIONS) {
            pendingPositions.addLast(new PendingPosition(position, now));
        }
    }

    /** Records the position that the replica reported as applied. */
    public void recordReplicaPosition(LogPosition applied, Instant now) {
        while (!pendingPositions.isEmpty() && applied.covers(pendingPositions.peekFirst().position)) {
            long lagNs = Duration.between(pendingPositions.removeFirst().reportedAt, now)
                    .toNanos();
            smoothedNs = smoothedNs < 0 ? lagNs : smoothedNs + NEW_SAMPLE_WEIGHT * (lagNs - smoothedNs);
        }
    }

    /**
     * The usual lag, at least the time for which the oldest write still missing at the replica has waited; empty when
     * there is no sample and no missing write.
     */
    public Optional<Duration> typicalLag(Instant now) {
        long waitedNs = pendingPositions.isEmpty()
                ? 0
                : Duration.between(pendingPositions.peekFirst().reportedAt, now).toNanos();
        if (smoothedNs < 0 && waitedNs == 0) {
            return Optional.empty();
        }
        return Optional.of(Duration.ofNanos(Math.max(waitedNs, (long) smoothedNs)));
    }

    private record PendingPosition(LogPosition position, Instant reportedAt) {}
}
