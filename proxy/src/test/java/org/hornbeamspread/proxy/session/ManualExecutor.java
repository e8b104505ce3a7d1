package org.hornbeamspread.proxy.session;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.ManualClock;

/** Runs scheduled tasks in order of their due time, and advances a manual clock to each. */
final class ManualExecutor extends AbstractExecutorService implements ScheduledExecutorService {
    private final ManualClock clock;
    private final PriorityQueue<Task<?>> tasks = new PriorityQueue<>(
            Comparator.<Task<?>>comparingLong(task -> task.dueAtMs).thenComparingLong(task -> task.order));
    private long nextOrder;

    ManualExecutor(ManualClock clock) {
        this.clock = clock;
    }

    long nowMs() {
        return clock.millis();
    }

    /** Runs every task that is due within a time, and advances the clock by that time. */
    void run(long durationMs) {
        long endMs = clock.millis() + durationMs;
        while (!tasks.isEmpty() && tasks.peek().dueAtMs <= endMs) {
            Task<?> task = tasks.remove();
            clock.advance(Duration.ofMillis(Math.max(0, task.dueAtMs - clock.millis())));
            task.run();
        }
        clock.advance(Duration.ofMillis(endMs - clock.millis()));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task<Void> task = new Task<>(command, clock.millis() + unit.toMillis(delay), nextOrder++);
        tasks.add(task);
        return task;
    }

    @Override
    public void execute(Runnable command) {
        schedule(command, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable command, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable command, long initialDelay, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {}

    @Override
    public List<Runnable> shutdownNow() {
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    @Override
    public <T> List<java.util.concurrent.Future<T>> invokeAll(Collection<? extends Callable<T>> callables) {
        throw new UnsupportedOperationException();
    }

    private static final class Task<V> extends FutureTask<V> implements ScheduledFuture<V> {
        private final long dueAtMs;
        private final long order;

        Task(Runnable command, long dueAtMs, long order) {
            super(command, null);
            this.dueAtMs = dueAtMs;
            this.order = order;
        }

        @Override
        public void run() {
            super.run();
            try {
                if (!isCancelled()) {
                    get();
                }
            } catch (InterruptedException | java.util.concurrent.ExecutionException e) {
                throw new IllegalStateException("a task failed", e);
            }
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
