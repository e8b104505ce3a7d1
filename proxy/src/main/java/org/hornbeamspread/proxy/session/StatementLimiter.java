package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hornbeamspread.core.admission.AdaptiveConcurrencyLimit;
import org.hornbeamspread.core.admission.FairQueue;
import org.hornbeamspread.core.admission.WorkspaceShare;

/**
 * Limits the statements in flight at one database to the {@link AdaptiveConcurrencyLimit}. Waiting statements are sent in order
 * of priority, the most urgent first, and within a priority in the order of a {@link FairQueue} over workspaces. Confined to the
 * engine's thread.
 */
final class StatementLimiter {
    private static final double NS_PER_MS = 1_000_000;

    private final AdaptiveConcurrencyLimit limit;
    private final Clock clock;
    private final TreeMap<Integer, FairQueue<WaitingStatement>> queues = new TreeMap<>();
    private long nextId;

    StatementLimiter(AdaptiveConcurrencyLimit limit, Clock clock) {
        this.limit = limit;
        this.clock = clock;
    }

    /** A place among the statements in flight. */
    final class Place {
        private final int priority;
        private final WorkspaceShare share;
        private final long sentMs = clock.millis();

        private Place(int priority, WorkspaceShare share) {
            this.priority = priority;
            this.share = share;
        }

        /**
         * Records the end of the statement; must be called once.
         *
         * @param refused whether the database had no capacity for the statement
         */
        void release(boolean refused) {
            limit.release(refused);
            if (refused) {
                queue(priority).abandon();
            } else {
                queue(priority).complete(share, (clock.millis() - sentMs) * NS_PER_MS);
            }
            sendWaiting();
        }
    }

    /** Runs {@code send}, now or later, when the statement may be sent. */
    void submit(int priority, WorkspaceShare share, Consumer<Place> send) {
        queue(priority).add(nextId++, share, new WaitingStatement(priority, share, send));
        sendWaiting();
    }

    void resize(int slots, int proxies) {
        limit.resize(slots, proxies);
        sendWaiting();
    }

    /** Number of statements that wait or are in flight. */
    int outstanding() {
        return queues.values().stream().mapToInt(FairQueue::size).sum() + limit.inFlight();
    }

    int concurrencyLimit() {
        return limit.limit();
    }

    private FairQueue<WaitingStatement> queue(int priority) {
        return queues.computeIfAbsent(priority, key -> new FairQueue<>());
    }

    private void sendWaiting() {
        Optional<FairQueue<WaitingStatement>> mostUrgent = mostUrgent();
        while (mostUrgent.isPresent() && limit.tryAcquire()) {
            mostUrgent.get().poll().ifPresent(next -> next.send().accept(new Place(next.priority(), next.share())));
            mostUrgent = mostUrgent();
        }
    }

    private Optional<FairQueue<WaitingStatement>> mostUrgent() {
        return queues.values().stream().filter(queue -> !queue.isEmpty()).findFirst();
    }

    private record WaitingStatement(int priority, WorkspaceShare share, Consumer<Place> send) {}
}
