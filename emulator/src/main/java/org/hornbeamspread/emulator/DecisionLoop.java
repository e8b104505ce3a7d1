package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.runtime.EventLoopThread;

/** The decision thread of a database, and the timer thread that feeds it. Its tasks run one at a time. */
final class DecisionLoop implements AutoCloseable {
    private static final int CAPACITY_EVENTS = 16_384;
    private static final Duration TICK = Duration.ofMillis(20);

    private final EventLoopThread<Runnable> decisions;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });

    DecisionLoop(Runnable tick) {
        this.decisions = new EventLoopThread<>("decisions", CAPACITY_EVENTS, Runnable::run, TICK, tick);
    }

    void start() {
        decisions.start();
    }

    /** Hands a task over; false when the ring is full. Any thread. */
    boolean offer(Runnable task) {
        return decisions.offer(task);
    }

    /** Hands over a task that must not be lost; it is offered again while the ring is full. Any thread. */
    void submit(Runnable task) {
        if (!decisions.offer(task)) {
            after(Duration.ofMillis(1), task);
        }
    }

    /** Hands a task over after a pause. Any thread. */
    void after(Duration pause, Runnable task) {
        if (!timers.isShutdown()) {
            timers.schedule(() -> submit(task), pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        decisions.close();
    }
}
