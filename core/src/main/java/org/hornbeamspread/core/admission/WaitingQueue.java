package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** Waiting requests in order of arrival, with an index by latest start. */
final class WaitingQueue {
    private final Map<Long, SlotRequest> byArrival = new LinkedHashMap<>();

    /** May still contain requests that were removed; {@link #dropRemovedRequests} drops them from its head. */
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

    /** Removes the oldest request. */
    Optional<SlotRequest> poll() {
        Optional<SlotRequest> oldest = byArrival.values().stream().findFirst();
        oldest.ifPresent(this::remove);
        return oldest;
    }

    /** Removes a request; false when the request is not waiting. */
    boolean remove(SlotRequest request) {
        boolean wasWaiting = byArrival.remove(request.requestId()) != null;
        dropRemovedRequests();
        return wasWaiting;
    }

    /** Removes every request whose latest start has passed. */
    List<SlotRequest> removeExpired(Instant now) {
        List<SlotRequest> expired = new ArrayList<>();
        dropRemovedRequests();
        while (!byStartBy.isEmpty() && byStartBy.peek().startBy().isBefore(now)) {
            SlotRequest request = byStartBy.remove();
            byArrival.remove(request.requestId());
            expired.add(request);
            dropRemovedRequests();
        }
        return expired;
    }

    private void dropRemovedRequests() {
        while (!byStartBy.isEmpty() && !byArrival.containsKey(byStartBy.peek().requestId())) {
            byStartBy.remove();
        }
    }
}
