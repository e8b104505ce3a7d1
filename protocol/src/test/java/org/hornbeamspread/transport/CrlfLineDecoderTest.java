package org.hornbeamspread.transport;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.hornbeamspread.core.admission.IncompleteMessageBudget;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Data was cut off at a line feed, and the rest was read as a message of its own (review case 5). Only CR LF ends a line, whatever
 * the packets.
 */
final class CrlfLineDecoderTest {
    private static final int MAX_LINE_BYTES = 64;

    /** Bytes with many carriage returns and line feeds, so that all sequences of them occur at all packet boundaries. */
    @Provide
    Arbitrary<String> bytes() {
        return Arbitraries.frequencyOf(
                        Tuple.of(2, Arbitraries.of('\r', '\n')),
                        Tuple.of(1, Arbitraries.chars().range('\0', '\u00ff')))
                .list()
                .ofMaxSize(60)
                .map(CrlfLineDecoderTest::concatenate);
    }

    @Property(tries = 2_000, seed = "31")
    void linesDependOnlyOnTheBytesAndNotOnThePackets(@ForAll("bytes") String bytes, @ForAll long splitSeed) {
        assertThat(decode(bytes, splitSeed)).isEqualTo(splitAtCrLf(bytes));
        assertThat(decodeBytewise(bytes)).isEqualTo(splitAtCrLf(bytes));
    }

    @Property(tries = 1_000, seed = "31")
    void encodedLinesAreDecodedUnchanged(@ForAll("bytes") String first, @ForAll("bytes") String second) {
        List<String> lines = new ArrayList<>();
        for (String line : List.of(first, second)) {
            lines.add(String.join("", splitAtCrLf(line + "\r\n")).replaceAll("\r+\n", "\n"));
        }

        assertThat(decodeBytewise(String.join("\r\n", lines) + "\r\n")).isEqualTo(lines);
    }

    /** A CR at the limit may belong to the line or to its end, which the next packet shows. */
    @ParameterizedTest
    @CsvSource({"64, '', true", "65, '', false", "63, CR, true", "64, CR, false", "300, '', false"})
    void lineOverTheLimitIsRefused(int length, String end, boolean accepted) {
        String line = "x".repeat(length) + (end.equals("CR") ? "\r" : "");
        for (int packet = 1; packet < length + 3; packet++) {
            EmbeddedChannel channel = channel(Optional.empty());
            boolean refused = false;
            try {
                send(channel, line + "\r\n", packet);
            } catch (TooLongFrameException e) {
                refused = true;
            }

            assertThat(refused).isEqualTo(!accepted);
            assertThat(received(channel)).isEqualTo(accepted ? List.of(line) : List.of());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 1_000})
    void nothingBehindARefusedLineIsDecoded(int packetBytes) {
        EmbeddedChannel channel = channel(Optional.empty());
        String input = "first\r\n" + "x".repeat(MAX_LINE_BYTES + 1) + "\nQUERY 1 READ a\r\nQUERY 2 READ a\r\n";

        assertThrows(TooLongFrameException.class, () -> send(channel, input, packetBytes));
        send(channel, "QUERY 3 READ a\r\n", packetBytes);

        assertThat(received(channel)).containsExactly("first");
        channel.finishAndReleaseAll();
    }

    /** Connections that each pause within a message; the memory stays below the budget, and their input is dropped for good. */
    @Test
    void pausedMessagesAreDroppedWhenTheBudgetIsExceeded() {
        int limitBytes = 4 * MAX_LINE_BYTES;
        ManualClock clock = new ManualClock();
        IncompleteMessageBudget budget = new IncompleteMessageBudget(limitBytes, clock);
        int dropped = 0;
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            channels.add(channel(Optional.of(budget)));
            send(channels.get(i), "WRITE a " + "x".repeat(MAX_LINE_BYTES / 2), 1_000);
            clock.advance(Duration.ofMillis(100));
            assertThat(budget.totalBytes()).isAtMost(limitBytes);
        }
        for (EmbeddedChannel channel : channels) {
            try {
                channel.checkException();
                send(channel, "end\r\n", 1_000);
                assertThat(received(channel)).hasSize(1);
            } catch (FailureException e) {
                dropped++;
                send(channel, "end\r\nQUERY 1 READ a\r\n", 1_000);
                assertThat(received(channel)).isEmpty();
            }
            channel.finishAndReleaseAll();
        }

        assertThat(dropped).isGreaterThan(0);
        assertThat(dropped).isLessThan(20);
        assertThat(budget.totalBytes()).isEqualTo(0);
    }

    /** Not by the decoder's own algorithm. */
    private static List<String> splitAtCrLf(String bytes) {
        List<String> lines = new ArrayList<>();
        String rest = bytes;
        for (int end = rest.indexOf("\r\n"); end >= 0; end = rest.indexOf("\r\n")) {
            lines.add(rest.substring(0, end));
            rest = rest.substring(end + 2);
        }
        return lines;
    }

    private static List<String> decode(String bytes, long splitSeed) {
        Random random = new Random(splitSeed);
        EmbeddedChannel channel = channel(Optional.empty());
        for (int from = 0; from < bytes.length(); ) {
            int to = Math.min(bytes.length(), from + 1 + random.nextInt(8));
            send(channel, bytes.substring(from, to), to - from);
            from = to;
        }
        return received(channel);
    }

    private static List<String> decodeBytewise(String bytes) {
        EmbeddedChannel channel = channel(Optional.empty());
        send(channel, bytes, 1);
        return received(channel);
    }

    private static EmbeddedChannel channel(Optional<IncompleteMessageBudget> budget) {
        return new EmbeddedChannel(new CrlfLineDecoder(MAX_LINE_BYTES, budget));
    }

    private static void send(EmbeddedChannel channel, String bytes, int packetBytes) {
        for (int from = 0; from < bytes.length(); from += packetBytes) {
            String packet = bytes.substring(from, Math.min(bytes.length(), from + packetBytes));
            channel.writeInbound(Unpooled.copiedBuffer(packet, StandardCharsets.ISO_8859_1));
        }
    }

    private static List<String> received(EmbeddedChannel channel) {
        List<String> lines = new ArrayList<>();
        for (String line = channel.readInbound(); line != null; line = channel.readInbound()) {
            lines.add(line);
        }
        return lines;
    }

    private static String concatenate(List<Character> characters) {
        StringBuilder text = new StringBuilder();
        characters.forEach(text::append);
        return text.toString();
    }
}
