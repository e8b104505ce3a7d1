package org.hornbeamspread.control.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.protocol.schema.Append;
import org.hornbeamspread.protocol.schema.ControlRecord;

/**
 * Reads a log file: a frame with the base, then one frame for each sync. A frame is written only after the one before
 * it was synced. So an unsound frame with a sound one behind it was synced once and is corrupted; without one it is
 * taken for a write that was never synced, nor answered for, and cut off.
 */
final class LogReader {
    private final Path path;
    private final List<LogRecord> records = new ArrayList<>();
    private long baseIndex;
    private long baseTerm;

    /** Where the sound part of the file ends. */
    private int validBytes;

    LogReader(Path path) {
        this.path = path;
    }

    /** Reads the whole file. Fails with LOG_CORRUPTED. */
    LogReader read() throws IOException {
        byte[] file = Files.readAllBytes(path);
        Optional<byte[]> base = Frame.decode(file, 0);
        if (base.isEmpty() || base.get().length != 2 * Long.BYTES) {
            throw ChecksummedFiles.corrupted(path, 0);
        }
        ByteBuffer numbers = ByteBuffer.wrap(base.get());
        baseIndex = numbers.getLong();
        baseTerm = numbers.getLong();
        validBytes = Frame.HEADER_BYTES + base.get().length;
        while (validBytes < file.length) {
            Optional<byte[]> body = Frame.decode(file, validBytes);
            if (body.isEmpty()) {
                if (Frame.validFrameExistsAfter(file, validBytes)) {
                    throw ChecksummedFiles.corrupted(path, validBytes);
                }
                break;
            }
            addRecords(body.get());
            validBytes += Frame.HEADER_BYTES + body.get().length;
        }
        return this;
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    int validBytes() {
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
            long place = wire.getIndex() - baseIndex - 1;
            if (place < 0 || place > records.size()) {
                throw ChecksummedFiles.corrupted(path, validBytes);
            }
            records.subList((int) place, records.size()).clear();
            records.add(RecordCodec.record(wire));
        }
    }
}
