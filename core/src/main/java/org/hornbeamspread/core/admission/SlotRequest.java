package org.hornbeamspread.core.admission;

import java.time.Instant;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * One request for a slot of a database.
 *
 * @param requestId unique among the requests of one scheduler
 * @param rank the rank of work it belongs to
 * @param arrivedAt when it arrived at this scheduler
 * @param startBy the latest time at which starting it still makes sense
 */
public record SlotRequest(long requestId, String rank, Instant arrivedAt, Instant startBy) {
    /** Checks that the rank is named. Fails with UNKNOWN_RANK. */
    public SlotRequest {
        if (rank.isEmpty()) {
            throw new FailureException(FailureType.UNKNOWN_RANK, "empty");
        }
    }
}
