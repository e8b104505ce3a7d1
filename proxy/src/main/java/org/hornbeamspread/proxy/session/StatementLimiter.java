package org.hornbeamspread.proxy.session;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hornbeamspread.core.admission.AdaptiveConcurrencyLimit;

/**
 * Lets statements through to one database, the most urgent first and in order of arrival within a priority, no more at once
 * than the {@link AdaptiveConcurrencyLimit}. Used on the engine's thread.
 */
final class StatementLimiter {
    private final AdaptiveConcurrencyLimit limit;
    private final PriorityQueue<WaitingStatement> queue = new PriorityQueue<>(
            Comparator.comparingInt(WaitingStatement::priority).thenComparingLong(WaitingStatement::arrivalOrder));
    private long nextArrivalOrder;

    StatementLimiter(AdaptiveConcurrencyLimit limit) {
        this.limit = limit;
    }

    /** Calls back, now or later, when the statement may be sent; {@link #release} is owed after its end. */
    void submit(int priority, Runnable send) {
        queue.add(new WaitingStatement(priority, nextArrivalOrder++, send));
        sendWaiting();
    }

    /** A statement that was let through has ended. */
    void release(boolean refused) {
        limit.release(refused);
        sendWaiting();
    }

    void resize(int slots, int proxies) {
        limit.resize(slots, proxies);
        sendWaiting();
    }

    /** Statements that wait or are in flight. */
    int outstanding() {
        return queue.size() + limit.inFlight();
    }

    int concurrencyLimit() {
        return limit.limit();
    }

    private void sendWaiting() {
        while (!queue.isEmpty() && limit.tryAcquire()) {
            queue.remove().send().run();
        }
    }

    private record WaitingStatement(int priority, long arrivalOrder, Runnable send) {}
}
