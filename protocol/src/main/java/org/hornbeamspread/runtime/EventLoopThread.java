package org.hornbeamspread.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * One thread with one duty, fed through a bounded ring by any number of threads. The handler is called for each event
 * in order, and the tick is called at least once an interval. Nothing but this thread touches the duty's state.
 *
 * @param <E> the events of the duty
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
     * Makes a duty; {@link #start} runs it.
     *
     * @param name the thread's name
     * @param capacityEvents the ring's capacity, rounded up to a power of two
     * @param handler called with each event, on the duty's thread
     * @param tickInterval how often {@code tick} runs
     * @param tick called on the duty's thread
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

    /** Hands an event over without blocking. False, and counted, when the ring is full. */
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

    /** Events refused because the ring was full. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** Events that wait in the ring. */
    public int queuedEvents() {
        return ring.size();
    }

    /** Stops the thread after the event it is at. */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
    }

    /** Whether {@link #close} was called. */
    public boolean isClosed() {
        return !running;
    }

    /** Waits until a closed duty has stopped, or the time is over. False when it still runs. */
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
        } catch (RuntimeException e) {
            LOG.log(Level.ERROR, "duty " + thread.getName() + " failed on an event", e);
        }
    }
}
