package org.hornbeamspread.core.misc;

import java.time.Clock;

/**
 * Notices when the steady clock can't be trusted for ages: a machine that was suspended does not count that time, while its
 * time of day does. Any step of one against the other starts a new epoch; an age is proven only within one epoch. A step of
 * the time of day alone starts one needlessly, which costs a new sample.
 */
public final class ClockJumpDetector {
    /** Above the drift between two looks, below what ages are rounded up by. */
    private static final long TOLERANCE_MS = 50;

    private final Clock monotonicClock;
    private final Clock wallClock;
    private long offsetMs;
    private long epoch;

    /** A guard of a steady clock, by the time of day. */
    public ClockJumpDetector(Clock steady, Clock timeOfDay) {
        this.monotonicClock = steady;
        this.wallClock = timeOfDay;
        this.offsetMs = timeOfDay.millis() - steady.millis();
    }

    /** The present epoch. */
    public long epoch() {
        long nowMs = wallClock.millis() - monotonicClock.millis();
        if (Math.abs(nowMs - offsetMs) > TOLERANCE_MS) {
            epoch++;
            offsetMs = nowMs;
        }
        return epoch;
    }
}
