package org.hornbeamspread.core.misc;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that stands still until it is advanced. For tests and for driving the decisions from a bench. */
public final class PausedClock extends Clock {
    private volatile Instant now;

    /** Starts at the epoch plus one day, so that differences stay positive. */
    public PausedClock() {
        this(Instant.EPOCH.plus(Duration.ofDays(1)));
    }

    /** Starts at the given instant. */
    public PausedClock(Instant start) {
        this.now = start;
    }

    /** Moves the clock forward. */
    public synchronized void advance(Duration step) {
        now = now.plus(step);
    }

    @Override
    public Instant instant() {
        return now;
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
