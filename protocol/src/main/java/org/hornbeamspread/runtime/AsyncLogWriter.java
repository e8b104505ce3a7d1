package org.hornbeamspread.runtime;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes lines to an output on a separate thread, from a bounded queue. A line that finds the queue full is dropped and
 * counted, so that callers never block. The class has a thread of its own because an {@link EventLoopThread} would wake up
 * fifty times a second for lines that can wait. Thread-safe.
 */
public final class AsyncLogWriter {
    private static final int RING_LINES = 1_024;

    /**
     * The longest sleep of the writer thread. A wake-up can be missed when a line is queued while the thread is about to
     * sleep; this timeout bounds the delay of that line.
     */
    private static final long MAX_SLEEP_NS = 1_000_000_000;

    private final Queue<String> ring = new MpscArrayQueue<>(RING_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream output;
    private final Thread writerThread = new Thread(this::runWriter, "log");
    private volatile boolean sleeping;

    /** Starts the writer thread for an output. */
    public AsyncLogWriter(OutputStream output) {
        this.output = output;
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Queues a line. Returns false when the line is dropped. */
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

    /** The number of lines dropped so far, because the queue was full or a write failed. */
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
            // No other output is left to report the error to; the line counts as dropped.
            droppedLines.incrementAndGet();
        }
    }
}
