package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Suppresses repeats of an effect until the previous attempt is old enough to count as lost. Confined to one thread. */
final class CommandThrottle {
    private final Clock clock;
    private final FailoverTimings timings;
    private final Map<FailoverEffect, Instant> sentAt = new HashMap<>();

    CommandThrottle(Clock clock, FailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** Returns the effect if it is due, and records the attempt; returns empty otherwise. */
    Optional<FailoverEffect> sendIfDue(FailoverEffect effect) {
        Instant now = clock.instant();
        Instant lastSentAt = sentAt.get(effect);
        if (lastSentAt != null && now.isBefore(lastSentAt.plusMillis(timings.retryMs()))) {
            return Optional.empty();
        }
        sentAt.put(effect, now);
        return Optional.of(effect);
    }

    /** Clears all attempts, at a new term. */
    void clear() {
        sentAt.clear();
    }
}
