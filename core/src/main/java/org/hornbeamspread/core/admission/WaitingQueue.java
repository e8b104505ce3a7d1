package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** Requests that wait, in order of arrival, with an index by the latest start. */
final class WaitingQueue {
    private final Map<Long, SlotRequest> byArrival = new LinkedHashMap<>();

    /** May hold requests that wait no more; they are skipped. */
    private final PriorityQueue<SlotRequest> byStartBy =
            new PriorityQueue<>(Comparator.comparing(SlotRequest::startBy).thenComparingLong(SlotRequest::requestId));

    int size() {
        return byArrival.size();
    }

    boolean isEmpty() {
        return byArrival.isEmpty();
    }

    void add(SlotRequest request) {
        byArrival.put(request.requestId(), request);
        byStartBy.add(request);
    }

    /** Takes the oldest request out. */
    Optional<SlotRequest> poll() {
        Optional<SlotRequest> oldest = byArrival.values().stream().findFirst();
        oldest.ifPresent(this::remove);
        return oldest;
    }

    /** Takes a request out; false when it does not wait. */
    boolean remove(SlotRequest request) {
        boolean waited = byArrival.remove(request.requestId()) != null;
        dropRemovedRequests();
        return waited;
    }

    /** Takes out every request whose latest start has passed. */
    List<SlotRequest> removeExpired(Instant now) {
        List<SlotRequest> late = new ArrayList<>();
        dropRemovedRequests();
        while (!byStartBy.isEmpty() && byStartBy.peek().startBy().isBefore(now)) {
            SlotRequest request = byStartBy.remove();
            byArrival.remove(request.requestId());
            late.add(request);
            dropRemovedRequests();
        }
        return late;
    }

    private void dropRemovedRequests() {
        while (!byStartBy.isEmpty() && !byArrival.containsKey(byStartBy.peek().requestId())) {
            byStartBy.remove();
        }
    }
}
