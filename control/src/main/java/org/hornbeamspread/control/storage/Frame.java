package org.hornbeamspread.control.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/** A checksummed block of a file: magic number, length of the body, CRC-32C of the body, body. */
final class Frame {
    static final int HEADER_BYTES = 12;
    private static final int MAGIC_NUMBER = 0x48424c47;

    private Frame() {}

    static ByteBuffer encode(byte[] body) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.length);
        frame.putInt(MAGIC_NUMBER)
                .putInt(body.length)
                .putInt(checksum(body, 0, body.length))
                .put(body);
        return frame.flip();
    }

    /** The body of the frame at an offset; empty unless the frame there is complete and its checksum is valid. */
    static Optional<byte[]> decode(byte[] file, int offset) {
        if (file.length - offset < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
        int magic = header.getInt();
        int length = header.getInt();
        int checksum = header.getInt();
        if (magic != MAGIC_NUMBER || length < 0 || length > file.length - offset - HEADER_BYTES) {
            return Optional.empty();
        }
        int start = offset + HEADER_BYTES;
        if (checksum(file, start, length) != checksum) {
            return Optional.empty();
        }
        byte[] body = new byte[length];
        System.arraycopy(file, start, body, 0, length);
        return Optional.of(body);
    }

    /** Whether a complete frame with a valid checksum starts anywhere after an offset. */
    static boolean validFrameExistsAfter(byte[] file, int offset) {
        for (int position = offset + 1; position <= file.length - HEADER_BYTES; position++) {
            boolean hasMagic = ByteBuffer.wrap(file, position, Integer.BYTES).getInt() == MAGIC_NUMBER;
            if (hasMagic && decode(file, position).isPresent()) {
                return true;
            }
        }
        return false;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
