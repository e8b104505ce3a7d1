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
 * @param share the workspace on whose behalf the request is
 */
public record SlotRequest(long requestId, String rank, Instant arrivedAt, Instant startBy, WorkspaceShare share) {
    /** Fails with UNKNOWN_RANK when the rank is empty. */
    public SlotRequest {
        if (rank.isEmpty()) {
            throw new FailureException(FailureType.UNKNOWN_RANK, "the rank of the request is empty");
        }
    }

    /** Creates a request without a workspace. */
    public SlotRequest(long requestId, String rank, Instant arrivedAt, Instant startBy) {
        this(requestId, rank, arrivedAt, startBy, WorkspaceShare.NONE);
    }
}
