package org.hornbeamspread.runtime;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** Wall time sampled once and advanced by the monotonic timer, so that a step of the wall clock does not affect leases. */
public final class MonotonicClock extends Clock {
    private final Instant start = Instant.now();
    private final long startNs = System.nanoTime();

    @Override
    public Instant instant() {
        return start.plusNanos(System.nanoTime() - startNs);
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
