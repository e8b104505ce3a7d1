package org.hornbeamspread.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.Optional;
import java.util.zip.CRC32C;

/** A checksummed block of a file: magic number, length of the body, CRC-32C of the body, body. */
final class Frame {
    static final int HEADER_BYTES = 12;
    private static final int MAGIC_NUMBER = 0x48424c47;
    private static final int SEARCH_BLOCK_BYTES = 64 << 10;

    private Frame() {}

    static ByteBuffer encode(byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.length);
        frame.putInt(MAGIC_NUMBER).putInt(body.length).putInt(checksum(body)).put(body);
        return frame.flip();
    }

    /** Reads the body of the frame at an offset; empty unless the frame there is complete and its checksum is valid. */
    static Optional<byte[]> read(FileChannel file, long offset) throws IOException {
        ByteBuffer header = readBytes(file, offset, HEADER_BYTES);
        if (header.remaining() < HEADER_BYTES) {
            return Optional.empty();
        }
        int magic = header.getInt();
        int length = header.getInt();
        int checksum = header.getInt();
        if (magic != MAGIC_NUMBER || length < 0 || length > file.size() - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        byte[] body = readBytes(file, offset + HEADER_BYTES, length).array();
        return checksum(body) == checksum ? Optional.of(body) : Optional.empty();
    }

    /** Whether a complete frame with a valid checksum starts anywhere after an offset. */
    static boolean validFrameExistsAfter(FileChannel file, long offset) throws IOException {
        long blockStart = offset + 1;
        while (blockStart <= file.size() - HEADER_BYTES) {
            ByteBuffer block = readBytes(file, blockStart, SEARCH_BLOCK_BYTES);
            int lastStart = block.remaining() - Integer.BYTES;
            for (int position = 0; position <= lastStart; position++) {
                if (block.getInt(position) == MAGIC_NUMBER
                        && read(file, blockStart + position).isPresent()) {
                    return true;
                }
            }
            blockStart += lastStart + 1;
        }
        return false;
    }

    /** Reads up to {@code length} bytes, fewer at the end of the file. */
    private static ByteBuffer readBytes(FileChannel file, long offset, int length) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(length);
        while (bytes.hasRemaining() && file.read(bytes, offset + bytes.position()) >= 0) {
            // Continues until the buffer is full or the file ends.
        }
        return bytes.flip();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }
}
