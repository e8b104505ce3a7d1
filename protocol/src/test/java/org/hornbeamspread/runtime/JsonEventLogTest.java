package org.hornbeamspread.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Events are written as JSON lines, and lines over a limit are dropped and counted instead of blocking the caller. */
final class JsonEventLogTest {
    private static final Clock TIME_OF_DAY = Clock.fixed(Instant.ofEpochMilli(1_000), ZoneOffset.UTC);

    private final ManualClock clock = new ManualClock();
    private final LinkedBlockingQueue<String> writtenLines = new LinkedBlockingQueue<>();

    @Test
    void anEventIsWrittenAsOneFlatJsonObject() throws InterruptedException {
        log(10, 0)
                .record(
                        "served",
                        "id",
                        "a\"b",
                        "elapsed_ms",
                        7L,
                        "late",
                        false,
                        "cause",
                        new IllegalStateException("x"));

        assertThat(writtenLines.poll(10, TimeUnit.SECONDS))
                .isEqualTo("{\"time_ms\":1000,\"event\":\"served\",\"id\":\"a\\\"b\",\"elapsed_ms\":7,\"late\":false,"
                        + "\"cause\":\"java.lang.IllegalStateException: x\"}\n");
    }

    /** Data of callers may hold characters at which a viewer or a log collector breaks the line. */
    @ParameterizedTest
    @ValueSource(strings = {"\n", "\r", "\r\n", "\u000b", "\u000c", "\u0085", "\u2028", "\u2029"})
    void anEventIsOneLineWhateverItsText(String lineBreak) throws InterruptedException {
        log(10, 0).record("refused" + lineBreak, "detail" + lineBreak, "one" + lineBreak + "two");

        String line = writtenLines.poll(10, TimeUnit.SECONDS);
        assertThat(line.stripTrailing().split("\\R|\u000b", -1)).hasLength(1);
    }

    @Test
    void linesOverTheLimitPerSecondAreDroppedAndCounted() {
        JsonEventLog log = log(3, 0);
        for (int i = 0; i < 10; i++) {
            log.record("event", "number", i);
        }
        assertThat(log.droppedLines()).isEqualTo(7);

        clock.advance(Duration.ofSeconds(1));
        log.record("event");
        assertThat(log.droppedLines()).isEqualTo(0);
    }

    @Test
    void aBlockedOutputDoesNotBlockCallers() throws InterruptedException {
        JsonEventLog log = log(10_000, 1);
        for (int i = 0; i < 5_000; i++) {
            log.record("event", "number", i);
        }

        assertThat(log.droppedLines()).isAtLeast(3_000);
    }

    private JsonEventLog log(long linesPerSecond, int latchCount) {
        CountDownLatch outputLatch = new CountDownLatch(latchCount);
        OutputStream output = new OutputStream() {
            @Override
            public void write(int ignored) {
                throw new AssertionError("expected one write of a whole line, not of a single byte");
            }

            @Override
            public void write(byte[] bytes) {
                try {
                    outputLatch.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                writtenLines.add(new String(bytes, StandardCharsets.UTF_8));
            }
        };
        return new JsonEventLog(clock, TIME_OF_DAY, linesPerSecond, new AsyncLogWriter(output));
    }
}
