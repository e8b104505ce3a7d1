package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;

/**
 * The rank, caller and deadline of a request to a database.
 *
 * @param rank the rank's name
 * @param callerId the id of the caller that sent the request
 * @param deadline the time by which the caller must receive the response
 */
record RequestContext(String rank, String callerId, Instant deadline) {
    private static final Duration MAX_START_MARGIN = Duration.ofMillis(20);
    private static final int MARGIN_DIVISOR = 4;

    /**
     * The latest time at which execution may start. A statement that starts just before its deadline is executed, but its
     * response comes too late and the outcome is unknown. If the statement is refused slightly earlier, it is proven not
     * to have run. The margin before the deadline is a quarter of the remaining time, at most {@link #MAX_START_MARGIN}.
     */
    Instant startBy(Instant now) {
        Duration quarter = Duration.between(now, deadline).dividedBy(MARGIN_DIVISOR);
        return deadline.minus(quarter.compareTo(MAX_START_MARGIN) < 0 ? quarter : MAX_START_MARGIN);
    }
}
