package org.hornbeamspread.load;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.EventLoopThread;

/**
 * Runs a schedule of arrivals against the proxies. One thread owns the callers, the ledger and the counts. It receives
 * the responses through a bounded ring, whose capacity exceeds the limit on requests in flight. Each arrival starts at
 * its intended time, regardless of the state of earlier requests.
 */
final class LoadRun implements AutoCloseable {
    private static final int RING_CAPACITY = 16_384;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(1);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

    private final Clock clock;
    private final EventLoopThread<Runnable> runThread;
    private final Dispatcher dispatcher;
    private final CallerModel callers;
    private final Deque<Arrival> schedule;
    private final BiConsumer<Integer, LoadRun> progress;
    private final CompletableFuture<Void> finished = new CompletableFuture<>();
    private final Instant start;
    private final long lastArrivalUs;
    private int lastReportedSecond;

    /** Prepares a run whose warm-up starts immediately. Calls {@code progress} each second on the run's thread. */
    LoadRun(
            Workload workload,
            ProxyClient proxyClient,
            List<Arrival> schedule,
            long seed,
            Duration warmUp,
            Clock clock,
            BiConsumer<Integer, LoadRun> progress) {
        this.clock = clock;
        this.schedule = new ArrayDeque<>(schedule);
        this.progress = progress;
        this.start = clock.instant().plus(warmUp);
        this.lastArrivalUs =
                schedule.isEmpty() ? 0 : schedule.get(schedule.size() - 1).atUs();
        this.runThread = new EventLoopThread<>("load", RING_CAPACITY, Runnable::run, TICK_INTERVAL, this::onTick);
        this.dispatcher = new Dispatcher(proxyClient, new SplittableRandom(seed), this::nowUs, this::enqueue);
        this.callers = new CallerModel(workload, dispatcher, this::nowUs, seed);
    }

    /** Runs the schedule and waits for the outcomes of all requests, for {@link #DRAIN_TIMEOUT} at most. */
    void run() {
        runThread.start();
        finished.join();
    }

    Instant start() {
        return start;
    }

    CallerModel callers() {
        return callers;
    }

    Dispatcher dispatcher() {
        return dispatcher;
    }

    /** The time since the start in microseconds; negative during the warm-up. */
    long nowUs() {
        return ChronoUnit.MICROS.between(start, clock.instant());
    }

    @Override
    public void close() {
        runThread.close();
    }

    private void enqueue(Runnable event) {
        if (!runThread.offer(event)) {
            finished.completeExceptionally(
                    new FailureException(FailureType.RING_FULL, "ring of the responses of the load tool"));
        }
    }

    private void onTick() {
        long nowUs = nowUs();
        while (!schedule.isEmpty() && schedule.peek().atUs() <= nowUs) {
            callers.startRequest(schedule.poll());
        }
        dispatcher.tick();
        int second = (int) Math.floorDiv(nowUs, 1_000_000L);
        if (second > lastReportedSecond) {
            lastReportedSecond = second;
            progress.accept(second, this);
        }
        boolean drained = dispatcher.isIdle() || nowUs > lastArrivalUs + DRAIN_TIMEOUT.toNanos() / 1_000;
        if (schedule.isEmpty() && nowUs >= 0 && drained) {
            finished.complete(null);
        }
    }
}
