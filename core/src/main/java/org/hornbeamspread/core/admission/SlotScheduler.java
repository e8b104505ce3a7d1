package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;

/**
 * Decides which request takes a database's next free slot. The owner calls {@link #offer} for each request, {@link
 * #poll} until it is empty after each offer and each completion, {@link #complete} when a statement has ended, and
 * {@link #removeExpired} now and then. Times never go back. For one thread.
 */
public interface SlotScheduler {
    /**
     * Queues a request; empty when it is queued. A refusal is QUEUE_FULL, DEADLINE_BEFORE_START or UNKNOWN_RANK: the
     * request will not be handed out, and did not run.
     */
    Optional<FailureException> offer(SlotRequest request);

    /** The next request to start, which takes a slot; empty when no slot is free or nothing waits. */
    Optional<SlotRequest> poll(Instant now);

    /** A request that was handed out has ended, and its slot is free. */
    void complete(SlotRequest request, Instant now);

    /** Takes out the requests that wait and can't start in time any more; each is refused with DEADLINE_BEFORE_START. */
    List<SlotRequest> removeExpired(Instant now);

    /** Takes out a waiting request, as when its caller has gone. False when it does not wait here. */
    boolean cancel(SlotRequest request);

    /** Requests that wait. */
    int waitingRequests();

    /** Slots that are taken. */
    int slotsInUse();
}
