package org.hornbeamspread.control.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.protocol.schema.Append;
import org.hornbeamspread.protocol.schema.ControlRecord;

/**
 * Reads a log file: a frame with the base index and term, then one frame for each sync. A frame is written only after
 * the previous frame was synced. So an invalid frame with a valid frame after it had been synced and is corrupted. An
 * invalid frame without a valid frame after it is treated as a torn write that was neither synced nor acknowledged, and
 * is cut off.
 */
final class LogReader {
    private final Path path;
    private final List<LogRecord> records = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;

    /** The length of the valid part of the file. */
    private long validBytes;

    LogReader(Path path) {
        this.path = path;
    }

    /** Reads the file frame by frame, so that only the records are held in memory. Fails with LOG_CORRUPTED. */
    LogReader read() throws IOException {
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ)) {
            read(file);
        }
        return this;
    }

    private void read(FileChannel file) throws IOException {
        Optional<byte[]> base = Frame.read(file, 0);
        if (base.isEmpty() || base.get().length != 2 * Long.BYTES) {
            throw ChecksummedFiles.corrupted(path, 0);
        }
        ByteBuffer header = ByteBuffer.wrap(base.get());
        baseIndex = header.getLong();
        baseTerm = header.getLong();
        validBytes = (long) Frame.HEADER_BYTES + base.get().length;
        while (validBytes < file.size()) {
            Optional<byte[]> body = Frame.read(file, validBytes);
            if (body.isEmpty()) {
                if (Frame.validFrameExistsAfter(file, validBytes)) {
                    throw ChecksummedFiles.corrupted(path, validBytes);
                }
                break;
            }
            addRecords(body.get());
            validBytes += Frame.HEADER_BYTES + body.get().length;
        }
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    long validBytes() {
        return validBytes;
    }

    List<LogRecord> records() {
        return records;
    }

    static byte[] encodeBase(long index, long term) {
        return ByteBuffer.allocate(2 * Long.BYTES).putLong(index).putLong(term).array();
    }

    static byte[] encodeRecords(List<LogRecord> records) {
        Append.Builder body = Append.newBuilder();
        records.forEach(record -> body.addRecords(RecordCodec.wire(record)));
        return body.build().toByteArray();
    }

    private void addRecords(byte[] body) {
        Append frame;
        try {
            frame = Append.parseFrom(body);
        } catch (InvalidProtocolBufferException e) {
            throw ChecksummedFiles.corrupted(path, validBytes);
        }
        for (ControlRecord wire : frame.getRecordsList()) {
            long position = wire.getIndex() - baseIndex - 1;
            if (position < 0 || position > records.size()) {
                throw ChecksummedFiles.corrupted(path, validBytes);
            }
            records.subList((int) position, records.size()).clear();
            records.add(RecordCodec.record(wire));
        }
    }
}
