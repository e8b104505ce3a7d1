package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Failure detector for databases: decides whether a database is suspected to have failed.
 *
 * <p>A single observer is not reliable: its own network link may be cut, or its process may have been paused. The time
 * since the control leader last received a message from the database (the silence) is therefore only the first
 * condition. A database is not suspected while at least half of the proxies with a recent observation report it as
 * available. Without any recent observation the required silence is twice as long. When the database's address refuses
 * connections, its process has ended, and half the silence is sufficient.
 *
 * <p>After a pause of the observer's own process every database appears silent. When two checks are further apart than
 * {@link FailoverTimings#pauseThresholdMs}, the silence counted so far is discarded and counting restarts. An unstable
 * link could cause repeated promotions of one group, so each recent promotion of the group doubles the required
 * silence, up to a factor of four. Confined to one thread.
 */
public final class FailureDetector {
    /** Bounds the observations that are stored for one database. */
    private static final int MAX_OBSERVERS = 9;

    private static final int MAX_DOUBLINGS = 2;
    private static final int NO_OBSERVER_FACTOR = 2;
    private static final int CONNECTION_FAILURE_DIVISOR = 2;

    private final Clock clock;
    private final FailoverTimings timings;
    private final Map<String, DatabaseHealth> healthByDatabase = new HashMap<>();
    private Instant lastPauseCheckAt;

    /** Time before this instant does not count as silence. */
    private Instant silenceCountedFrom;

    /** Creates a detector without any contacts; silence is counted from now. */
    public FailureDetector(Clock clock, FailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
        this.lastPauseCheckAt = clock.instant();
        this.silenceCountedFrom = lastPauseCheckAt;
    }

    /** Must be called at each step of the owner. Returns whether the process was paused since the previous call. */
    public boolean detectLocalPause() {
        Instant now = clock.instant();
        boolean paused = Duration.between(lastPauseCheckAt, now).toMillis() > timings.pauseThresholdMs();
        if (paused) {
            silenceCountedFrom = now;
            healthByDatabase.values().forEach(health -> health.observations.clear());
        }
        lastPauseCheckAt = now;
        return paused;
    }

    /** Records a message received from the database. */
    public void recordContact(String databaseId) {
        DatabaseHealth health = health(databaseId);
        health.lastContactAt = clock.instant();
        health.connectionFailed = false;
    }

    /** Records that a connection to the database's address was refused or broken. */
    public void recordConnectionFailure(String databaseId) {
        health(databaseId).connectionFailed = true;
    }

    /**
     * Records a proxy's observation of a database.
     *
     * @param reachable whether the proxy has an open connection to the database
     * @param silentMs time since the proxy last received a message from the database
     */
    public void recordObservation(String proxyId, String databaseId, boolean reachable, long silentMs) {
        Map<String, Observation> observations = health(databaseId).observations;
        if (observations.size() < MAX_OBSERVERS || observations.containsKey(proxyId)) {
            observations.put(proxyId, new Observation(clock.instant(), reachable, silentMs));
        }
    }

    /** Removes the state of a database that has expired. */
    public void remove(String databaseId) {
        healthByDatabase.remove(databaseId);
    }

    /** Time since the last contact with the database, excluding time before this process's last pause ended. */
    public Duration silence(String databaseId) {
        DatabaseHealth health = health(databaseId);
        Instant since = health.lastContactAt.isAfter(silenceCountedFrom) ? health.lastContactAt : silenceCountedFrom;
        return Duration.between(since, clock.instant());
    }

    /**
     * Whether the database is suspected to have failed.
     *
     * @param recentPromotions the number of recent promotions of the database's group
     */
    public boolean isSuspected(String databaseId, int recentPromotions) {
        long requiredMs = timings.heartbeatTimeoutMs() << Math.min(recentPromotions, MAX_DOUBLINGS);
        long silentMs = silence(databaseId).toMillis();
        if (silentMs <= requiredMs / CONNECTION_FAILURE_DIVISOR) {
            return false;
        }
        DatabaseHealth health = health(databaseId);
        Instant oldest = clock.instant().minusMillis(timings.observationTtlMs());
        health.observations.values().removeIf(observation -> observation.receivedAt.isBefore(oldest));
        int observers = health.observations.size();
        long unavailableReports = health.observations.values().stream()
                .filter(observation -> observation.reportsUnavailable(timings.heartbeatTimeoutMs()))
                .count();
        if (observers > 0 && unavailableReports * 2 <= observers) {
            return false;
        }
        if (health.connectionFailed) {
            return silentMs > requiredMs / CONNECTION_FAILURE_DIVISOR;
        }
        return silentMs > (observers > 0 ? requiredMs : requiredMs * NO_OBSERVER_FACTOR);
    }

    private DatabaseHealth health(String databaseId) {
        return healthByDatabase.computeIfAbsent(databaseId, id -> new DatabaseHealth(silenceCountedFrom));
    }

    /** A proxy's latest observation of a database, and when it was received. */
    private record Observation(Instant receivedAt, boolean reachable, long silentMs) {
        boolean reportsUnavailable(long limitMs) {
            return !reachable || silentMs > limitMs;
        }
    }

    /** The health information of one database. */
    private static final class DatabaseHealth {
        private final Map<String, Observation> observations = new HashMap<>();
        private Instant lastContactAt;
        private boolean connectionFailed;

        DatabaseHealth(Instant contactAt) {
            this.lastContactAt = contactAt;
        }
    }
}
