package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Timers in order of time. Not safe for use by several threads. */
final class TimerQueue {
    private final Clock clock;
    private final PriorityQueue<Entry> entries = new PriorityQueue<>(
            Comparator.<Entry, Instant>comparing(entry -> entry.dueAt).thenComparingLong(entry -> entry.sequence));
    private long nextSequence;

    TimerQueue(Clock clock) {
        this.clock = clock;
    }

    Dispatcher.Timer schedule(Duration pause, Runnable work) {
        Entry entry = new Entry(clock.instant().plus(pause), nextSequence++, work);
        entries.add(entry);
        return entry::cancel;
    }

    /** Runs every timer that is due. */
    void runDue() {
        Instant now = clock.instant();
        while (!entries.isEmpty() && !entries.peek().dueAt.isAfter(now)) {
            entries.poll().work.run();
        }
    }

    private static final class Entry {
        private final Instant dueAt;
        private final long sequence;

        /** Replaced when the timer is called off; the entry leaves the queue when it is due. */
        private Runnable work;

        Entry(Instant at, long sequence, Runnable work) {
            this.dueAt = at;
            this.sequence = sequence;
            this.work = work;
        }

        void cancel() {
            work = () -> {};
        }
    }
}
