package org.hornbeamspread.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * A single-threaded event loop that takes its events from a bounded queue with any number of producers. The handler is
 * called for each event in order, and the tick once per interval. Only this thread may access the state that the
 * handler and the tick use, so that state needs no locks.
 *
 * @param <E> the type of the events
 */
public final class EventLoopThread<E> implements AutoCloseable {
    private static final Logger LOG = System.getLogger(EventLoopThread.class.getName());
    private static final long PARK_NS = Duration.ofMillis(1).toNanos();

    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final Runnable tick;
    private final long tickNs;
    private final Thread thread;
    private final AtomicLong refusedEvents = new AtomicLong();
    private volatile boolean running = true;
    private volatile boolean parked;

    /**
     * Creates the event loop; {@link #start} runs it.
     *
     * @param name the thread's name
     * @param capacityEvents the capacity of the queue, rounded up to a power of two
     * @param handler called with each event, on this thread
     * @param tickInterval how often {@code tick} runs
     * @param tick called on this thread
     */
    public EventLoopThread(String name, int capacityEvents, Consumer<E> handler, Duration tickInterval, Runnable tick) {
        this.ring = new MpscArrayQueue<>(capacityEvents);
        this.handler = handler;
        this.tick = tick;
        this.tickNs = tickInterval.toNanos();
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public EventLoopThread<E> start() {
        thread.start();
        return this;
    }

    /** Queues an event without blocking. When the queue is full, counts the event as refused and returns false. */
    public boolean offer(E event) {
        if (!ring.offer(event)) {
            refusedEvents.incrementAndGet();
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** The number of events refused because the queue was full. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** The number of events in the queue. */
    public int queuedEvents() {
        return ring.size();
    }

    /** Stops the thread once the current event is handled; events still queued are dropped. */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
    }

    /** Whether {@link #close} was called. */
    public boolean isClosed() {
        return !running;
    }

    /** Waits until a closed event loop has stopped or the limit has passed. Returns false when the thread still runs. */
    public boolean awaitStop(Duration limit) throws InterruptedException {
        thread.join(Math.max(1, limit.toMillis()));
        return !thread.isAlive();
    }

    private void run() {
        long nextTickNs = System.nanoTime();
        while (running) {
            E event = ring.relaxedPoll();
            if (event != null) {
                runAndLogFailure(() -> handler.accept(event));
            }
            long nowNs = System.nanoTime();
            if (nowNs - nextTickNs >= 0) {
                nextTickNs = nowNs + tickNs;
                runAndLogFailure(tick);
            }
            if (event == null) {
                parkUntilEventOrTick(nextTickNs - nowNs);
            }
        }
    }

    private void parkUntilEventOrTick(long untilTickNs) {
        parked = true;
        if (ring.isEmpty() && running) {
            LockSupport.parkNanos(this, Math.max(1, Math.min(untilTickNs, PARK_NS * 20)));
        }
        parked = false;
    }

    private void runAndLogFailure(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError e) {
            LOG.log(Level.ERROR, "event loop " + thread.getName() + " failed in a handler or a tick", e);
        }
    }
}
