package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.Executor;

/**
 * The one thread that owns a duty's state. Work runs in order of arrival; timers run on the same thread.
 */
interface Dispatcher extends Executor {
    /** A timer that can be called off. */
    interface Timer {
        /** Calls it off; no effect once it ran. */
        void cancel();
    }

    /** The clock that timers run by. */
    Clock clock();

    /** Hands work over that must not be lost: a continuation of work that was accepted. */
    @Override
    void execute(Runnable work);

    /** Hands work over that may be refused. False when the ring is more than half full. */
    boolean tryExecute(Runnable work);

    /** Runs work after a pause. Call it on the dispatcher's thread only. */
    Timer schedule(Duration pause, Runnable work);
}
