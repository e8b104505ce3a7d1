package org.hornbeamspread.runtime;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamspread.core.misc.EventLog;

/**
 * Writes each event as one line of JSON, a flat object of the time of day in milliseconds, the event and its fields. Lines
 * over the limit per second are dropped; the number of dropped lines is logged before the first line of the next second
 * that has events. Thread-safe.
 */
public final class JsonEventLog implements EventLog {
    /** Escapes all but ASCII, since some viewers break lines at U+0085 and U+2028. */
    private static final JsonFactory JSON =
            JsonFactory.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    private static final long SECOND_MS = 1_000;

    private final Clock monotonicClock;
    private final Clock timeOfDay;
    private final AsyncLogWriter logWriter;
    private final long linesPerSecond;
    private final AtomicLong currentSecond = new AtomicLong();
    private final AtomicLong linesInSecond = new AtomicLong();
    private final AtomicLong linesOverLimit = new AtomicLong();

    /** The part of the writer's dropped lines that the log has reported. */
    private final AtomicLong reportedOutputDrops = new AtomicLong();

    /**
     * Creates a log of at most {@code linesPerSecond} lines per second.
     *
     * @param clock a monotonic clock, for the limit per second
     * @param timeOfDay the clock for the timestamps of the lines
     */
    public JsonEventLog(Clock clock, Clock timeOfDay, long linesPerSecond, AsyncLogWriter output) {
        this.monotonicClock = clock;
        this.timeOfDay = timeOfDay;
        this.linesPerSecond = linesPerSecond;
        this.logWriter = output;
    }

    /** Creates a log that writes to standard output. */
    public static JsonEventLog onStandardOutput(Clock clock, long linesPerSecond) {
        AsyncLogWriter output = new AsyncLogWriter(new BufferedOutputStream(new FileOutputStream(FileDescriptor.out)));
        return new JsonEventLog(clock, Clock.systemUTC(), linesPerSecond, output);
    }

    @Override
    public void record(String event, Object... fields) {
        long nowSecond = monotonicClock.millis() / SECOND_MS;
        if (currentSecond.getAndSet(nowSecond) != nowSecond) {
            linesInSecond.set(0);
            reportDropped();
        }
        if (linesInSecond.incrementAndGet() > linesPerSecond) {
            linesOverLimit.incrementAndGet();
        } else {
            logWriter.offer(formatLine(event, fields));
        }
    }

    /** The number of dropped lines that the log has not reported yet. */
    public long droppedLines() {
        return linesOverLimit.get() + logWriter.droppedLines() - reportedOutputDrops.get();
    }

    private void reportDropped() {
        long outputDrops = logWriter.droppedLines();
        long unreported = linesOverLimit.getAndSet(0) + outputDrops - reportedOutputDrops.getAndSet(outputDrops);
        if (unreported > 0) {
            logWriter.offer(formatLine("log_lines_dropped", "lines", unreported));
        }
    }

    private String formatLine(String event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("time_ms", timeOfDay.millis());
            json.writeStringField("event", event);
            for (int i = 0; i + 1 < fields.length; i += 2) {
                json.writeFieldName(String.valueOf(fields[i]));
                writeValue(json, fields[i + 1]);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator json, Object value) throws IOException {
        if (value instanceof Integer || value instanceof Long) {
            json.writeNumber(((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            json.writeBoolean(flag);
        } else if (value instanceof Throwable failure) {
            json.writeString(failure.toString());
        } else {
            json.writeString(String.valueOf(value));
        }
    }
}
