package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.runtime.DutyThread;

/** The decision thread of a database, and the timer thread that feeds it. Its tasks run one at a time. */
final class EventLoop implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final DutyThread<Runnable> decisionThread;
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timers");
        thread.setDaemon(true);
        return thread;
    });

    EventLoop(Runnable tick) {
        this.decisionThread = new DutyThread<>("decisions", QUEUE_CAPACITY, Runnable::run, TICK_INTERVAL, tick);
    }

    void start() {
        decisionThread.start();
    }

    /** Hands a task over; false when the ring is full. Any thread. */
    boolean offer(Runnable task) {
        return decisionThread.offer(task);
    }

    /** Hands over a task that must not be lost; it is offered again while the ring is full. Any thread. */
    void submit(Runnable task) {
        if (!decisionThread.offer(task)) {
            schedule(Duration.ofMillis(1), task);
        }
    }

    /** Hands a task over after a pause. Any thread. */
    void schedule(Duration pause, Runnable task) {
        if (!timers.isShutdown()) {
            timers.schedule(() -> submit(task), pause.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        decisionThread.close();
    }
}
