package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;

/**
 * On whose behalf work runs at a database, and until when.
 *
 * @param rank the rank's name
 * @param callerId who asked
 * @param deadline when the answer must be there
 */
record RequestContext(String rank, String callerId, Instant deadline) {
    private static final Duration MAX_START_MARGIN = Duration.ofMillis(20);
    private static final int MARGIN_DIVISOR = 4;

    /**
     * The latest start. Work that starts right before its deadline runs, is not answered in time, and leaves an unknown
     * outcome; refused a little earlier, it is proven not to have run.
     */
    Instant startBy(Instant now) {
        Duration quarter = Duration.between(now, deadline).dividedBy(MARGIN_DIVISOR);
        return deadline.minus(quarter.compareTo(MAX_START_MARGIN) < 0 ? quarter : MAX_START_MARGIN);
    }
}
