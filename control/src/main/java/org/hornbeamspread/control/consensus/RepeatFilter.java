package org.hornbeamspread.control.consensus;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Bounds the log lines of observations that repeat: one per key and second when the value changes, and one per key and
 * minute when it stays equal. Thread-safe.
 */
final class RepeatFilter {
    private static final long CHANGE_INTERVAL_MS = 1_000;
    private static final long EQUAL_INTERVAL_MS = 60_000;

    private final Clock clock;
    private final Map<String, Admission> admissions = new HashMap<>();

    RepeatFilter(Clock clock) {
        this.clock = clock;
    }

    /** Returns the number of observations dropped since the last admitted one, or empty to drop this one as well. */
    synchronized OptionalLong admit(String key, Object value) {
        Admission last = admissions.get(key);
        long nowMs = clock.millis();
        if (last != null) {
            long intervalMs = last.value.equals(value) ? EQUAL_INTERVAL_MS : CHANGE_INTERVAL_MS;
            if (nowMs - last.atMs < intervalMs) {
                admissions.put(key, new Admission(last.value, last.atMs, last.dropped + 1));
                return OptionalLong.empty();
            }
        }
        admissions.put(key, new Admission(value, nowMs, 0));
        return OptionalLong.of(last == null ? 0 : last.dropped);
    }

    private record Admission(Object value, long atMs, long dropped) {}
}
