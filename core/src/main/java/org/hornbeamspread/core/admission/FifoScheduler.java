package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** One bounded FIFO queue for all ranks: a baseline for comparison with the other schedulers. */
public final class FifoScheduler implements SlotScheduler {
    private final int slots;
    private final int queueLimit;
    private final WaitingQueue waiting = WaitingQueue.byArrival();
    private int slotsInUse;

    /** Creates a scheduler whose queue holds at most {@code queueLimit} requests. */
    public FifoScheduler(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    @Override
    public Optional<FailureException> offer(SlotRequest request) {
        if (waiting.size() >= queueLimit) {
            return Optional.of(new FailureException(FailureType.QUEUE_FULL, request.rank()));
        }
        waiting.add(request);
        return Optional.empty();
    }

    @Override
    public Optional<SlotRequest> poll(Instant now) {
        if (slotsInUse >= slots || waiting.isEmpty()) {
            return Optional.empty();
        }
        slotsInUse++;
        return waiting.poll();
    }

    @Override
    public void complete(SlotRequest request, Instant now) {
        slotsInUse--;
    }

    @Override
    public List<SlotRequest> removeExpired(Instant now) {
        return waiting.removeExpired(now);
    }

    @Override
    public boolean cancel(SlotRequest request) {
        return waiting.remove(request);
    }

    @Override
    public int waitingRequests() {
        return waiting.size();
    }

    @Override
    public int slotsInUse() {
        return slotsInUse;
    }
}
