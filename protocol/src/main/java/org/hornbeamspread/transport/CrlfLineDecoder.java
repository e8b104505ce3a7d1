package org.hornbeamspread.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Decodes lines that end with CR LF. A carriage return or a line feed on its own is part of the line, and so is every other byte:
 * ISO 8859-1 maps bytes to characters one to one. Netty's own line decoder ends a line at any line feed, and its delimiter decoder
 * searches the whole buffer again for each packet.
 *
 * <p>After a line over the limit the decoder fires one exception and discards all later input, because the start of the next line is
 * not known. The exception follows the lines before it.
 */
public final class CrlfLineDecoder extends ByteToMessageDecoder {
    private final int maxLineBytes;

    /** The length of the prefix of the unread bytes that contains no line end. */
    private int scannedBytes;

    /** Whether all further input is discarded. */
    private boolean failed;

    /** Creates a decoder for lines of at most {@code maxLineBytes} bytes, not counting CR LF. */
    public CrlfLineDecoder(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ignored, ByteBuf input, List<Object> lines) {
        if (failed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        int start = input.readerIndex();
        int lineEnd = findLineEnd(input);
        int endOfLine = lineEnd >= 0 ? lineEnd : endOfIncompleteLine(input);
        if (endOfLine - start > maxLineBytes) {
            failed = true;
            input.skipBytes(input.readableBytes());
            throw new TooLongFrameException("a line over " + maxLineBytes + " bytes");
        }
        if (lineEnd < 0) {
            scannedBytes = input.readableBytes();
            return;
        }
        scannedBytes = 0;
        lines.add(input.toString(start, lineEnd - start, StandardCharsets.ISO_8859_1));
        input.readerIndex(lineEnd + 2);
    }

    /** Returns the index of the CR of the first CR LF, or -1. Only bytes that earlier calls have not examined are examined. */
    private int findLineEnd(ByteBuf input) {
        int from = input.readerIndex() + scannedBytes;
        while (true) {
            int lineFeed = input.indexOf(from, input.writerIndex(), (byte) '\n');
            if (lineFeed < 0) {
                return -1;
            }
            if (lineFeed > input.readerIndex() && input.getByte(lineFeed - 1) == '\r') {
                return lineFeed - 1;
            }
            from = lineFeed + 1;
        }
    }

    /** The end of the bytes that certainly belong to the line: a CR at the end may be the first half of the line end. */
    private static int endOfIncompleteLine(ByteBuf input) {
        int end = input.writerIndex();
        boolean endsWithCarriageReturn = input.isReadable() && input.getByte(end - 1) == '\r';
        return endsWithCarriageReturn ? end - 1 : end;
    }
}
