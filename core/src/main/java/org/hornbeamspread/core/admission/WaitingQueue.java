package org.hornbeamspread.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Function;

/** Waiting requests in the order of a {@link FairQueue}, with an index by latest start. */
final class WaitingQueue {
    private final Function<SlotRequest, WorkspaceShare> shares;
    private final FairQueue<SlotRequest> queue = new FairQueue<>();

    /** May still contain requests that were removed; {@link #dropRemovedRequests} drops them from its head. */
    private final PriorityQueue<SlotRequest> byStartBy =
            new PriorityQueue<>(Comparator.comparing(SlotRequest::startBy).thenComparingLong(SlotRequest::requestId));

    private WaitingQueue(Function<SlotRequest, WorkspaceShare> shares) {
        this.shares = shares;
    }

    /** A queue that is shared fairly by workspaces. */
    static WaitingQueue fair() {
        return new WaitingQueue(SlotRequest::share);
    }

    /** A queue in order of arrival. */
    static WaitingQueue byArrival() {
        return new WaitingQueue(request -> WorkspaceShare.NONE);
    }

    int size() {
        return queue.size();
    }

    boolean isEmpty() {
        return queue.isEmpty();
    }

    /** The number of waiting requests of a workspace. */
    int size(WorkspaceShare share) {
        return queue.size(share.workspace());
    }

    void add(SlotRequest request) {
        queue.add(request.requestId(), shares.apply(request), request);
        byStartBy.add(request);
    }

    /** Removes the next request. */
    Optional<SlotRequest> poll() {
        Optional<SlotRequest> next = queue.poll();
        dropRemovedRequests();
        return next;
    }

    /** Records the end of a request, and how long it has occupied its slot. */
    void complete(WorkspaceShare share, double serviceNs) {
        queue.complete(share, serviceNs);
    }

    /** Records the end of a request without service. */
    void abandon() {
        queue.abandon();
    }

    /** How many waiting requests start before a new one of a workspace. */
    int requestsAhead(WorkspaceShare share) {
        return queue.itemsAhead(share);
    }

    /** Whether a workspace has so few waiting requests that another one has to make room for it in a full queue. */
    boolean isShorterThanAnother(WorkspaceShare share) {
        return queue.isShorterThanAnother(share);
    }

    /** Removes the newest request of the workspace that has the most, relative to its weight. */
    Optional<SlotRequest> removeNewestOfLongest() {
        Optional<SlotRequest> removed = queue.removeNewestOfLongest();
        dropRemovedRequests();
        return removed;
    }

    /** Removes a request; false when the request is not waiting. */
    boolean remove(SlotRequest request) {
        boolean wasWaiting = queue.remove(request.requestId()).isPresent();
        dropRemovedRequests();
        return wasWaiting;
    }

    /** Removes every request whose latest start has passed. */
    List<SlotRequest> removeExpired(Instant now) {
        List<SlotRequest> expired = new ArrayList<>();
        dropRemovedRequests();
        while (!byStartBy.isEmpty() && byStartBy.peek().startBy().isBefore(now)) {
            SlotRequest request = byStartBy.remove();
            queue.remove(request.requestId());
            expired.add(request);
            dropRemovedRequests();
        }
        return expired;
    }

    private void dropRemovedRequests() {
        while (!byStartBy.isEmpty() && !queue.contains(byStartBy.peek().requestId())) {
            byStartBy.remove();
        }
    }
}
