package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A queue of timers ordered by due time, then by the order of scheduling. Not thread-safe. */
final class TimerQueue {
    private final Clock clock;
    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
            Comparator.<Entry, Instant>comparing(entry -> entry.dueAt).thenComparingLong(entry -> entry.sequence));
    private long nextSequence;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    Dispatcher.Timer schedule(Duration delay, Runnable work) {
        Entry entry = new Entry(clock.instant().plus(delay), nextSequence++, work);
        entries.add(entry);
        return entry::cancel;
    }

    /** Runs every due timer. */
    void runDue() {
        Instant now = clock.instant();
        while (!entries.isEmpty() && !entries.peek().dueAt.isAfter(now)) {
            entries.poll().work.run();
        }
    }

    private static final class Entry {
        private final Instant dueAt;
        private final long sequence;

        /** Replaced by a no-op when the timer is cancelled; the entry stays in the queue until it is due. */
        private Runnable work;

        Entry(Instant dueAt, long sequence, Runnable work) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.work = work;
        }

        void cancel() {
            work = () -> {};
        }
    }
}
