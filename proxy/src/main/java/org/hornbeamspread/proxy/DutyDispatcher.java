package org.hornbeamspread.proxy;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import org.hornbeamspread.runtime.EventLoopThread;

/** A dispatcher on a duty thread of its own. */
final class DutyDispatcher implements Dispatcher, AutoCloseable {
    private static final Logger LOG = System.getLogger(DutyDispatcher.class.getName());
    private static final int CAPACITY_EVENTS = 1 << 16;
    private static final Duration TICK = Duration.ofMillis(2);

    private final Clock clock;
    private final TimerQueue timers;
    private final EventLoopThread<Runnable> duty;

    DutyDispatcher(String name, Clock clock) {
        this.clock = clock;
        this.timers = new TimerQueue(clock);
        this.duty = new EventLoopThread<>(name, CAPACITY_EVENTS, Runnable::run, TICK, timers::runDue).start();
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public void execute(Runnable work) {
        if (!duty.offer(work)) {
            LOG.log(Level.ERROR, "the ring is full of accepted work");
        }
    }

    @Override
    public boolean tryExecute(Runnable work) {
        return duty.queuedEvents() < CAPACITY_EVENTS / 2 && duty.offer(work);
    }

    @Override
    public Timer schedule(Duration pause, Runnable work) {
        return timers.schedule(pause, work);
    }

    /** Work that waits. */
    int waitingEvents() {
        return duty.queuedEvents();
    }

    @Override
    public void close() {
        duty.close();
    }
}
