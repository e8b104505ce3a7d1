package org.hornbeamspread.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Lines on their way to an output, written by a thread of their own from a bounded ring. A line that finds the ring full is
 * dropped and counted; nobody waits. A {@link EventLoopThread} would wake up fifty times a second for lines that may wait. Safe for any
 * thread.
 */
public final class AsyncLogWriter {
    private static final int RING_LINES = 1_024;

    /** How long the writer sleeps when it is not woken; the wake-up of a line that meets it falling asleep can be missed. */
    private static final long MAX_SLEEP_NS = 1_000_000_000;

    private final Queue<String> ring = new MpscArrayQueue<>(RING_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream output;
    private final Thread writerThread = new Thread(this::runWriter, "log");
    private volatile boolean sleeping;

    /** Begins to write to an output. */
    public AsyncLogWriter(OutputStream output) {
        this.output = output;
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Takes a line; false when it is dropped. */
    public boolean offer(String line) {
        if (!ring.offer(line)) {
            droppedLines.incrementAndGet();
            return false;
        }
        if (sleeping) {
            LockSupport.unpark(writerThread);
        }
        return true;
    }

    /** Lines that found the ring full so far. */
    public long droppedLines() {
        return droppedLines.get();
    }

    private void runWriter() {
        while (true) {
            String line = ring.poll();
            if (line != null) {
                writeLine(line);
                continue;
            }
            sleeping = true;
            if (ring.isEmpty()) {
                LockSupport.parkNanos(MAX_SLEEP_NS);
            }
            sleeping = false;
        }
    }

    private void writeLine(String line) {
        try {
            output.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            if (ring.isEmpty()) {
                output.flush();
            }
        } catch (IOException e) {
            // There is nowhere left to report it: the line counts as dropped.
            droppedLines.incrementAndGet();
        }
    }
}
