package org.hornbeamspread.proxy;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import org.hornbeamspread.runtime.EventLoopThread;

/** A dispatcher with a dedicated thread and a bounded task queue. */
final class SingleThreadDispatcher implements Dispatcher, AutoCloseable {
    private static final Logger LOG = System.getLogger(SingleThreadDispatcher.class.getName());
    private static final int MAX_QUEUED_TASKS = 1 << 16;
    private static final Duration TIMER_CHECK_INTERVAL = Duration.ofMillis(2);

    private final Clock clock;
    private final TimerQueue timers;
    private final EventLoopThread<Runnable> thread;

    SingleThreadDispatcher(String name, Clock clock) {
        this.clock = clock;
        this.timers = new TimerQueue(clock);
        this.thread = new EventLoopThread<>(name, MAX_QUEUED_TASKS, Runnable::run, TIMER_CHECK_INTERVAL, timers::runDue)
                .start();
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable task) {
        if (!thread.offer(task)) {
            LOG.log(Level.ERROR, "task queue is full, a continuation of accepted work was dropped");
        }
    }

    @Override
    public boolean tryExecute(Runnable task) {
        return thread.queuedEvents() < MAX_QUEUED_TASKS / 2 && thread.offer(task);
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        return timers.schedule(delay, task);
    }

    /** The number of tasks that wait to run. */
    int queuedTasks() {
        return thread.queuedEvents();
    }

    @Override
    public void close() {
        thread.close();
    }
}
