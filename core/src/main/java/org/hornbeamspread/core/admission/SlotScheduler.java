package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;

/**
 * Decides which request takes a database's next free slot. The owner calls {@link #offer} for each request, {@link
 * #poll} until the result is empty after each offer and each completion, {@link #complete} when a statement has ended,
 * and {@link #removeExpired} periodically. The times passed in never decrease. Confined to one thread.
 */
public interface SlotScheduler {
    /**
     * Queues a request; empty when the request is queued. A refusal is QUEUE_FULL, DEADLINE_BEFORE_START or
     * UNKNOWN_RANK: the request did not run, and {@link #poll} will not return it.
     */
    Optional<FailureException> offer(SlotRequest request);

    /** The next request to start, which takes a slot; empty when no slot is free or nothing waits. */
    Optional<SlotRequest> poll(Instant now);

    /** Frees the slot of a request that {@link #poll} returned and that has ended. */
    void complete(SlotRequest request, Instant now);

    /** Removes the waiting requests whose latest start has passed; each is refused with DEADLINE_BEFORE_START. */
    List<SlotRequest> removeExpired(Instant now);

    /**
     * Removes the waiting requests that had to leave a full queue for requests of other workspaces; each is refused with
     * QUEUE_FULL. Called after each offer of a request with a workspace.
     */
    default List<SlotRequest> removeDisplaced() {
        return List.of();
    }

    /** Removes a waiting request, for example after its caller disconnected; false when the request is not waiting. */
    boolean cancel(SlotRequest request);

    /** The number of waiting requests. */
    int waitingRequests();

    /** The number of slots in use. */
    int slotsInUse();
}
