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
    private static final int ALONE_FACTOR = 2;
    private static final int REFUSED_DIVISOR = 2;

    private final Clock clock;
    private final FailoverTimings timings;
    private final Map<String, Signs> databases = new HashMap<>();
    private Instant lastStepAt;

    /** Nothing counted as silence before this time. */
    private Instant silenceSince;

    /** A detector that has heard nothing yet; silence counts from now. */
    public FailureDetector(Clock clock, FailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
        this.lastStepAt = clock.instant();
        this.silenceSince = lastStepAt;
    }

    /** To be called at each step of the owner, so that its own pauses are seen. Returns whether it stood still. */
    public boolean step() {
        Instant now = clock.instant();
        boolean stoodStill = Duration.between(lastStepAt, now).toMillis() > timings.ownPauseMs();
        if (stoodStill) {
            silenceSince = now;
            databases.values().forEach(signs -> signs.observations.clear());
        }
        lastStepAt = now;
        return stoodStill;
    }

    /** The database gave a sign of life. */
    public void heard(String databaseId) {
        Signs signs = signs(databaseId);
        signs.heardAt = clock.instant();
        signs.refused = false;
    }

    /** A connection to the database's address was refused or broken. */
    public void refused(String databaseId) {
        signs(databaseId).refused = true;
    }

    /**
     * A proxy told what it sees.
     *
     * @param reachable whether it has an open connection
     * @param silentMs how long the database has sent it nothing
     */
    public void observed(String proxyId, String databaseId, boolean reachable, long silentMs) {
        Map<String, Observation> observations = signs(databaseId).observations;
        if (observations.size() < MAX_OBSERVERS || observations.containsKey(proxyId)) {
            observations.put(proxyId, new Observation(clock.instant(), reachable, silentMs));
        }
    }

    /** Forgets a database that has expired. */
    public void remove(String databaseId) {
        databases.remove(databaseId);
    }

    /** How long the database has been silent, as far as this process can tell. */
    public Duration silence(String databaseId) {
        Signs signs = signs(databaseId);
        Instant since = signs.heardAt.isAfter(silenceSince) ? signs.heardAt : silenceSince;
        return Duration.between(since, clock.instant());
    }

    /**
     * Whether the database should be taken for lost.
     *
     * @param recentPromotions how often its group was promoted lately
     */
    public boolean isSuspected(String databaseId, int recentPromotions) {
        long neededMs = timings.silenceMs() << Math.min(recentPromotions, MAX_DOUBLINGS);
        long silentMs = silence(databaseId).toMillis();
        if (silentMs <= neededMs / REFUSED_DIVISOR) {
            return false;
        }
        Signs signs = signs(databaseId);
        Instant oldest = clock.instant().minusMillis(timings.observationMs());
        signs.observations.values().removeIf(observation -> observation.at.isBefore(oldest));
        int observers = signs.observations.size();
        long gone = signs.observations.values().stream()
                .filter(observation -> observation.saysGone(timings.silenceMs()))
                .count();
        if (observers > 0 && gone * 2 <= observers) {
            return false;
        }
        if (signs.refused) {
            return silentMs > neededMs / REFUSED_DIVISOR;
        }
        return silentMs > (observers > 0 ? neededMs : neededMs * ALONE_FACTOR);
    }

    private Signs signs(String databaseId) {
        return databases.computeIfAbsent(databaseId, id -> new Signs(silenceSince));
    }

    /** What a proxy saw, and when it said so. */
    private record Observation(Instant at, boolean reachable, long silentMs) {
        boolean saysGone(long limitMs) {
            return !reachable || silentMs > limitMs;
        }
    }

    /** What is known of one database. */
    private static final class Signs {
        private final Map<String, Observation> observations = new HashMap<>();
        private Instant heardAt;
        private boolean refused;

        Signs(Instant heardAt) {
            this.heardAt = heardAt;
        }
    }
}
