package org.hornbeamspread.core.admission;

import java.time.Instant;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * One request for a slot of a database.
 *
 * @param requestId unique among the requests of one scheduler
 * @param rank the rank of the request
 * @param arrivedAt when the request arrived at the scheduler
 * @param startBy latest time at which the request may start
 */
public record SlotRequest(long requestId, String rank, Instant arrivedAt, Instant startBy) {
    /** Fails with UNKNOWN_RANK when the rank is empty. */
    public SlotRequest {
        if (rank.isEmpty()) {
            throw new FailureException(FailureType.UNKNOWN_RANK, "the rank of the request is empty");
        }
    }
}
