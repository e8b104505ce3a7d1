package org.hornbeamspread.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DelimiterBasedFrameDecoder;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.string.StringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.transport.CrlfLineDecoder;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.infra.Blackhole;

/**
 * Time to decode one mebibyte of lines: requests of 40 bytes in packets of 25, and one line in packets of 1,000 bytes. Compares the
 * decoder of the database protocol to Netty's decoders, of which one ends a line at any line feed and one starts its search
 * over with each packet.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class LineDecoderBenchmark {
    private static final int TOTAL_BYTES = 1 << 20;
    private static final int PACKET_BYTES = 1_000;

    /** The decoder. */
    @Param({"CRLF", "NETTY_LINE_FEED", "NETTY_DELIMITER"})
    public Decoder decoder;

    /** The length of a line, with its end. */
    @Param({"40", "1048576"})
    public int lineBytes;

    private final List<ByteBuf> packets = new ArrayList<>();

    /** Decoders of lines. */
    public enum Decoder {
        CRLF,
        NETTY_LINE_FEED,
        NETTY_DELIMITER;

        private ChannelHandler[] handlers() {
            return switch (this) {
                case CRLF -> new ChannelHandler[] {new CrlfLineDecoder(TOTAL_BYTES)};
                case NETTY_LINE_FEED -> withStrings(new LineBasedFrameDecoder(TOTAL_BYTES));
                case NETTY_DELIMITER ->
                    withStrings(new DelimiterBasedFrameDecoder(
                            TOTAL_BYTES, Unpooled.copiedBuffer("\r\n", StandardCharsets.ISO_8859_1)));
            };
        }

        private static ChannelHandler[] withStrings(ChannelHandler frames) {
            return new ChannelHandler[] {frames, new StringDecoder(StandardCharsets.ISO_8859_1)};
        }
    }

    /** Builds the packets. */
    @Setup
    public void build() {
        String line = "x".repeat(lineBytes - 2) + "\r\n";
        byte[] bytes = line.repeat(TOTAL_BYTES / lineBytes).getBytes(StandardCharsets.ISO_8859_1);
        for (int from = 0; from < bytes.length; from += PACKET_BYTES) {
            packets.add(Unpooled.copiedBuffer(bytes, from, Math.min(PACKET_BYTES, bytes.length - from)));
        }
    }

    /** Decodes all packets. */
    @Benchmark
    public void decode(Blackhole blackhole) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder.handlers());
        for (ByteBuf packet : packets) {
            channel.writeInbound(packet.copy());
            for (Object line = channel.readInbound(); line != null; line = channel.readInbound()) {
                blackhole.consume(line);
            }
        }
        channel.finishAndReleaseAll();
    }
}
