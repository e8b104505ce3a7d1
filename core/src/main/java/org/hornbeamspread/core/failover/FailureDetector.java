package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether a database should be taken for lost.
 *
 * <p>One observer is not enough: its own link may be cut, or it may have stood still. So control's own silence is only
 * the first condition. While half of the proxies that saw a database lately say that it lives, it is not suspected.
 * Without any such proxy the silence must last twice as long, unless the database's address refuses connections: then
 * its process is gone, and half the silence is enough.
 *
 * <p>A frozen observer wakes with every database silent. When two steps lie further apart than a bound, the silence that
 * was counted meanwhile is void and counts anew. A link that flaps would have its group promoted again and again, so
 * each promotion of a group in the last while doubles the silence it takes, up to a factor of four. Confined to one
 * thread.
 */
public final class FailureDetector {
    private static final int MAX_OBSERVERS = 9;
    private static final int MAX_DOUBLINGS = 2;
    private static final int NO_OBSERVER_FACTOR = 2;
    private static final int CONNECTION_FAILURE_DIVISOR = 2;

    private final Clock clock;
    private final FailoverTimings timings;
    private final Map<String, DatabaseHealth> healthByDatabase = new HashMap<>();
    private Instant lastPauseCheckAt;

    /** Nothing counted as silence before this time. */
    private Instant silenceCountedFrom;

    /** A detector that has heard nothing yet; silence counts from now. */
    public FailureDetector(Clock clock, FailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
        this.lastPauseCheckAt = clock.instant();
        this.silenceCountedFrom = lastPauseCheckAt;
    }

    /** To be called at each step of the owner, so that its own pauses are seen. Returns whether it stood still. */
    public boolean detectLocalPause() {
        Instant now = clock.instant();
        boolean stoodStill = Duration.between(lastPauseCheckAt, now).toMillis() > timings.pauseThresholdMs();
        if (stoodStill) {
            silenceCountedFrom = now;
            healthByDatabase.values().forEach(signs -> signs.observations.clear());
        }
        lastPauseCheckAt = now;
        return stoodStill;
    }

    /** The database gave a sign of life. */
    public void recordContact(String databaseId) {
        DatabaseHealth signs = health(databaseId);
        signs.lastContactAt = clock.instant();
        signs.connectionFailed = false;
    }

    /** A connection to the database's address was refused or broken. */
    public void recordConnectionFailure(String databaseId) {
        health(databaseId).connectionFailed = true;
    }

    /**
     * A proxy told what it sees.
     *
     * @param reachable whether it has an open connection
     * @param silentMs how long the database has sent it nothing
     */
    public void recordObservation(String proxyId, String databaseId, boolean reachable, long silentMs) {
        Map<String, Observation> observations = health(databaseId).observations;
        if (observations.size() < MAX_OBSERVERS || observations.containsKey(proxyId)) {
            observations.put(proxyId, new Observation(clock.instant(), reachable, silentMs));
        }
    }

    /** Forgets a database that has expired. */
    public void remove(String databaseId) {
        healthByDatabase.remove(databaseId);
    }

    /** How long the database has been silent, as far as this process can tell. */
    public Duration silence(String databaseId) {
        DatabaseHealth signs = health(databaseId);
        Instant since = signs.lastContactAt.isAfter(silenceCountedFrom) ? signs.lastContactAt : silenceCountedFrom;
        return Duration.between(since, clock.instant());
    }

    /**
     * Whether the database should be taken for lost.
     *
     * @param recentPromotions how often its group was promoted lately
     */
    public boolean isSuspected(String databaseId, int recentPromotions) {
        long neededMs = timings.heartbeatTimeoutMs() << Math.min(recentPromotions, MAX_DOUBLINGS);
        long silentMs = silence(databaseId).toMillis();
        if (silentMs <= neededMs / CONNECTION_FAILURE_DIVISOR) {
            return false;
        }
        DatabaseHealth signs = health(databaseId);
        Instant oldest = clock.instant().minusMillis(timings.observationTtlMs());
        signs.observations.values().removeIf(observation -> observation.receivedAt.isBefore(oldest));
        int observers = signs.observations.size();
        long gone = signs.observations.values().stream()
                .filter(observation -> observation.reportsUnavailable(timings.heartbeatTimeoutMs()))
                .count();
        if (observers > 0 && gone * 2 <= observers) {
            return false;
        }
        if (signs.connectionFailed) {
            return silentMs > neededMs / CONNECTION_FAILURE_DIVISOR;
        }
        return silentMs > (observers > 0 ? neededMs : neededMs * NO_OBSERVER_FACTOR);
    }

    private DatabaseHealth health(String databaseId) {
        return healthByDatabase.computeIfAbsent(databaseId, id -> new DatabaseHealth(silenceCountedFrom));
    }

    /** What a proxy saw, and when it said so. */
    private record Observation(Instant receivedAt, boolean reachable, long silentMs) {
        boolean reportsUnavailable(long limitMs) {
            return !reachable || silentMs > limitMs;
        }
    }

    /** What is known of one database. */
    private static final class DatabaseHealth {
        private final Map<String, Observation> observations = new HashMap<>();
        private Instant lastContactAt;
        private boolean connectionFailed;

        DatabaseHealth(Instant heardAt) {
            this.lastContactAt = heardAt;
        }
    }
}
