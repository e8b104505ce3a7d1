package org.hornbeamspread.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.admission.IncompleteMessageBudget;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Decodes lines that end with CR LF. A carriage return or a line feed on its own is part of the line, and so is every other byte:
 * ISO 8859-1 maps bytes to characters one to one. Netty's own line decoder ends a line at any line feed, and its delimiter decoder
 * searches the whole buffer again for each packet.
 *
 * <p>After a line over the limit, and after an eviction by the budget, the decoder fires one exception and discards all later input,
 * because the start of the next line is not known. The exception follows the lines before it.
 */
public final class CrlfLineDecoder extends ByteToMessageDecoder implements IncompleteMessageBudget.Holder {
    private final int maxLineBytes;

    /** Absent if incomplete lines are bounded by the number of connections. */
    private final Optional<IncompleteMessageBudget> budget;

    private ChannelHandlerContext context;

    /** The length of the prefix of the unread bytes that contains no line end. */
    private int scannedBytes;

    /** Whether all further input is discarded. */
    private boolean failed;

    /** Creates a decoder for lines of at most {@code maxLineBytes} bytes, not counting CR LF. */
    public CrlfLineDecoder(int maxLineBytes) {
        this(maxLineBytes, Optional.empty());
    }

    /** Creates a decoder whose incomplete line counts towards a budget of the connections on the same event loop. */
    public CrlfLineDecoder(int maxLineBytes, Optional<IncompleteMessageBudget> budget) {
        this.maxLineBytes = maxLineBytes;
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) throws Exception {
        try {
            super.channelRead(context, message);
        } finally {
            budget.ifPresent(this::updateBudget);
        }
    }

    @Override
    protected void handlerRemoved0(ChannelHandlerContext removed) {
        budget.ifPresent(shared -> shared.release(this));
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
        budget.ifPresent(shared -> shared.release(this));
    }

    @Override
    public void onEvicted() {
        failed = true;
        try {
            super.channelRead(context, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
        context.fireExceptionCaught(
                new FailureException(FailureType.INCOMPLETE_MESSAGE_DROPPED, "too many large messages at a time"));
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

    private void updateBudget(IncompleteMessageBudget shared) {
        if (actualReadableBytes() == 0) {
            shared.release(this);
        } else {
            shared.retain(this, internalBuffer().capacity());
        }
    }
}
