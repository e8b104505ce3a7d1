package org.hornbeamspread.core.failover;

import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Holds an effect back until its last sending is old enough to be taken for lost. Confined to one thread. */
final class CommandThrottle {
    private final Clock clock;
    private final FailoverTimings timings;
    private final Map<FailoverEffect, Instant> sentAt = new HashMap<>();

    CommandThrottle(Clock clock, FailoverTimings timings) {
        this.clock = clock;
        this.timings = timings;
    }

    /** The effect when it is due, else nothing. */
    Optional<FailoverEffect> sendIfDue(FailoverEffect effect) {
        Instant now = clock.instant();
        Instant last = sentAt.get(effect);
        if (last != null && now.isBefore(last.plusMillis(timings.retryMs()))) {
            return Optional.empty();
        }
        sentAt.put(effect, now);
        return Optional.of(effect);
    }

    /** Forgets everything, at a new term. */
    void clear() {
        sentAt.clear();
    }
}
