package org.hornbeamspread.proxy;

import java.time.Clock;
import java.time.Duration;
import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * A dispatcher with a manual clock; tasks and timers run only when the test calls {@link #runPending} or
 * {@link #advance}. Tasks may be submitted on any thread.
 */
final class ManualDispatcher implements Dispatcher {
    private final ManualClock clock = new ManualClock();
    private final TimerQueue timers = new TimerQueue(clock);
    private final Deque<Runnable> tasks = new ConcurrentLinkedDeque<>();

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
    }

    @Override
    public boolean tryExecute(Runnable task) {
        return tasks.add(task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return timers.schedule(delay, task);
    }

    /** Runs the due timers and all queued tasks. */
    void runPending() {
        do {
            timers.runDue();
            while (!tasks.isEmpty()) {
                tasks.poll().run();
            }
        } while (!tasks.isEmpty());
    }

    /** Advances the clock in one step and runs nothing, like a process that was suspended. */
    void jumpClock(Duration duration) {
        clock.advance(duration);
    }

    /** Advances the clock in steps of one millisecond and runs pending work after each step. */
    void advance(Duration duration) {
        for (long i = 0; i < duration.toMillis(); i++) {
            clock.advance(Duration.ofMillis(1));
            runPending();
        }
    }
}
