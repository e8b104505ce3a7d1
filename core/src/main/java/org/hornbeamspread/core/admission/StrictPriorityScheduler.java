package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** A bounded queue for each rank, served in strict priority by worth, without shares: a baseline for comparison. */
public final class StrictPriorityScheduler implements SlotScheduler {
    private final int slots;
    private final Map<String, RankSettings> settings = new LinkedHashMap<>();

    /** By rank, in descending order of worth. */
    private final Map<String, WaitingQueue> queues = new LinkedHashMap<>();

    private int slotsInUse;

    /** Creates a scheduler for {@code slots} slots. */
    public StrictPriorityScheduler(int slots, List<RankSettings> ranks) {
        this.slots = slots;
        ranks.stream()
                .sorted(Comparator.comparingInt(RankSettings::worth).reversed())
                .forEach(rank -> {
                    settings.put(rank.rank(), rank);
                    queues.put(rank.rank(), WaitingQueue.byArrival());
                });
    }

    @Override
    public Optional<FailureException> offer(SlotRequest request) {
        WaitingQueue queue = queues.get(request.rank());
        if (queue == null) {
            return Optional.of(new FailureException(FailureType.UNKNOWN_RANK, request.rank()));
        }
        if (queue.size() >= settings.get(request.rank()).queueLimit()) {
            return Optional.of(new FailureException(FailureType.QUEUE_FULL, request.rank()));
        }
        queue.add(request);
        return Optional.empty();
    }

    @Override
    public Optional<SlotRequest> poll(Instant now) {
        if (slotsInUse >= slots) {
            return Optional.empty();
        }
        for (WaitingQueue queue : queues.values()) {
            if (!queue.isEmpty()) {
                slotsInUse++;
                return queue.poll();
            }
        }
        return Optional.empty();
    }

    @Override
    public void complete(SlotRequest request, Instant now) {
        slotsInUse--;
    }

    @Override
    public List<SlotRequest> removeExpired(Instant now) {
        List<SlotRequest> expired = new ArrayList<>();
        queues.values().forEach(queue -> expired.addAll(queue.removeExpired(now)));
        return expired;
    }

    @Override
    public boolean cancel(SlotRequest request) {
        WaitingQueue queue = queues.get(request.rank());
        return queue != null && queue.remove(request);
    }

    @Override
    public int waitingRequests() {
        return queues.values().stream().mapToInt(WaitingQueue::size).sum();
    }

    @Override
    public int slotsInUse() {
        return slotsInUse;
    }
}
