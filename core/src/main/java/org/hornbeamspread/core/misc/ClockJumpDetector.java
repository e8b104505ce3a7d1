package org.hornbeamspread.core.misc;

import java.time.Clock;

/**
 * Detects when ages measured with the monotonic clock are unreliable: while a machine is suspended, its monotonic clock
 * stands still, but its wall clock advances. Any jump of one clock against the other starts a new epoch, and an age is
 * valid only if it was measured within one epoch. A jump of the wall clock alone starts an epoch without need, which
 * costs one new sample.
 */
public final class ClockJumpDetector {
    /** Above the drift of the clocks between two checks, and below the amount by which ages are rounded up. */
    private static final long TOLERANCE_MS = 50;

    private final Clock monotonicClock;
    private final Clock wallClock;
    private long offsetMs;
    private long epoch;

    /** Creates a detector that compares a monotonic clock with the wall clock. */
    public ClockJumpDetector(Clock monotonicClock, Clock wallClock) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.offsetMs = wallClock.millis() - monotonicClock.millis();
    }

    /** The current epoch; starts a new one if the clocks have jumped since the last call. */
    public long epoch() {
        long currentOffsetMs = wallClock.millis() - monotonicClock.millis();
        if (Math.abs(currentOffsetMs - offsetMs) > TOLERANCE_MS) {
            epoch++;
            offsetMs = currentOffsetMs;
        }
        return epoch;
    }
}
