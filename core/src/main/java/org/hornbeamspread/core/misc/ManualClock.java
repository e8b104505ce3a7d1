package org.hornbeamspread.core.misc;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that changes only when it is advanced, for tests and benchmarks. */
public final class ManualClock extends Clock {
    private volatile Instant currentInstant;

    /** Starts at the epoch plus one day, so that differences stay positive. */
    public ManualClock() {
        this(Instant.EPOCH.plus(Duration.ofDays(1)));
    }

    /** Starts at the given instant. */
    public ManualClock(Instant start) {
        this.currentInstant = start;
    }

    /** Moves the clock forward. */
    public synchronized void advance(Duration step) {
        currentInstant = currentInstant.plus(step);
    }

    @Override
    public Instant instant() {
        return currentInstant;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
