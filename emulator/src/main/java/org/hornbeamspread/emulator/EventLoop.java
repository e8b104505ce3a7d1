package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.runtime.EventLoopThread;

/**
 * The decision thread of a database, which executes tasks sequentially, and a timer thread that submits delayed tasks.
 */
final class EventLoop implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoopThread<Runnable> decisionThread;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });

    EventLoop(Runnable tick) {
        this.decisionThread = new EventLoopThread<>("decisions", QUEUE_CAPACITY, Runnable::run, TICK_INTERVAL, tick);
    }

    void start() {
        decisionThread.start();
    }

    /** Enqueues a task; returns false if the queue is full. Safe for any thread. */
    boolean offer(Runnable task) {
        return decisionThread.offer(task);
    }

    /**
     * Enqueues a task that must not be lost; retries every millisecond while the queue is full. Safe for any thread.
     */
    void submit(Runnable task) {
        if (!decisionThread.offer(task)) {
            schedule(Duration.ofMillis(1), task);
        }
    }

    /** Enqueues a task after a delay. Safe for any thread. */
    void schedule(Duration delay, Runnable task) {
        if (!timers.isShutdown()) {
            timers.schedule(() -> submit(task), delay.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        decisionThread.close();
    }
}
