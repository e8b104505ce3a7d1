package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hornbeamspread.core.misc.ManualClock;

/** A dispatcher that a test steps by hand, on a paused clock. */
final class ManualDispatcher implements Dispatcher {
    private final ManualClock clock = new ManualClock();
    private final TimerQueue timers = new TimerQueue(clock);
    private final Deque<Runnable> tasks = new ArrayDeque<>();

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable item) {
        tasks.add(item);
    }

    @Override
    public boolean tryExecute(Runnable item) {
        return tasks.add(item);
    }

    @Override
    public Timer schedule(Duration pause, Runnable item) {
        return timers.schedule(pause, item);
    }

    /** Runs what waits and what is due. */
    void runPending() {
        do {
            timers.runDue();
            while (!tasks.isEmpty()) {
                tasks.poll().run();
            }
        } while (!tasks.isEmpty());
    }

    /** Lets time pass as one jump, as for a process that was stopped. */
    void jumpClock(Duration step) {
        clock.advance(step);
    }

    /** Lets time pass in steps of one millisecond. */
    void advance(Duration step) {
        for (long i = 0; i < step.toMillis(); i++) {
            clock.advance(Duration.ofMillis(1));
            runPending();
        }
    }
}
