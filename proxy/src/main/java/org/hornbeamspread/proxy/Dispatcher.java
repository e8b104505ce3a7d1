package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * A single-threaded event loop. Tasks run in order of arrival; timers run on the same thread. State that only this
 * thread accesses needs no locks.
 */
interface Dispatcher extends Executor {
    /** A timer that can be cancelled. */
    interface Timer {
        /** Cancels the timer. No effect after the timer has run. */
        void cancel();
    }

    /** The clock of the timers. */
    Clock clock();

    /** Submits a task that must not be rejected: the continuation of accepted work. */
    @Override
    void execute(Runnable task);

    /** Submits a task that may be rejected. Returns false if the queue is more than half full. */
    boolean tryExecute(Runnable task);

    /** Runs a task after a delay. Call only on the dispatcher's thread. */
    Timer schedule(Duration delay, Runnable task);
}
