package org.hornbeamspread.proxy.session;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hornbeamspread.core.admission.AdaptiveConcurrencyLimit;

/**
 * Lets statements through to one database, the most urgent first and in order of arrival within a priority, no more at once
 * than the {@link AdaptiveConcurrencyLimit}. Used on the engine's thread.
 */
final class StatementGate {
    private final AdaptiveConcurrencyLimit limit;
    private final PriorityQueue<Waiting> queue =
            new PriorityQueue<>(Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::order));
    private long nextOrder;

    StatementGate(AdaptiveConcurrencyLimit limit) {
        this.limit = limit;
    }

    /** Calls back, now or later, when the statement may be sent; {@link #leave} is owed after its end. */
    void enter(int priority, Runnable send) {
        queue.add(new Waiting(priority, nextOrder++, send));
        letThrough();
    }

    /** A statement that was let through has ended. */
    void leave(boolean refused) {
        limit.release(refused);
        letThrough();
    }

    void share(int slots, int proxies) {
        limit.resize(slots, proxies);
        letThrough();
    }

    /** Statements that wait or are in flight. */
    int outstanding() {
        return queue.size() + limit.inFlight();
    }

    int parallel() {
        return limit.limit();
    }

    private void letThrough() {
        while (!queue.isEmpty() && limit.tryAcquire()) {
            queue.remove().send().run();
        }
    }

    private record Waiting(int priority, long order, Runnable send) {}
}
