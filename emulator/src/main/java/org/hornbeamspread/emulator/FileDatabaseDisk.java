package org.hornbeamspread.emulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.LogEntry;

/**
 * Stores a database in one directory, in the files {@code log}, {@code metadata} and {@code set-aside}. A log record
 * consists of the length of the entry, a CRC32C of the entry, and the entry. Recovery truncates the log at the first
 * torn or corrupted record.
 */
final class FileDatabaseDisk implements DatabaseDisk {
    private static final int HEADER_BYTES = 2 * Integer.BYTES;
    private static final int METADATA_BYTES = 4 * Long.BYTES + 1;

    private final Path directory;
    private final FileChannel log;

    /** The end offset of each log record in the log file. */
    private final List<Long> endOffsets = new ArrayList<>();

    private final List<LogEntry> recovered = new ArrayList<>();

    /** Opens the directory, creating it if missing, and recovers the log. Fails with DISK_FAILED. */
    FileDatabaseDisk(Path directory) {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
            this.log = FileChannel.open(
                    directory.resolve("log"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            recover();
        } catch (IOException e) {
            throw diskFailure(e);
        }
    }

    /** The valid entries that the log contained when it was opened. */
    List<LogEntry> recoveredEntries() {
        return List.copyOf(recovered);
    }

    /** The saved metadata; empty if none was saved. Fails with DISK_FAILED or LOG_CORRUPTED. */
    Optional<DatabaseMetadata> readMetadata() {
        Path file = directory.resolve("metadata");
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file));
            if (bytes.remaining() != METADATA_BYTES + Integer.BYTES
                    || bytes.getInt(METADATA_BYTES) != checksum(bytes.slice(0, METADATA_BYTES))) {
                throw new FailureException(
                        FailureType.LOG_CORRUPTED, file.getFileName() + " has a wrong length or checksum");
            }
            return Optional.of(new DatabaseMetadata(
                    bytes.getLong(), bytes.getLong(), bytes.getLong(), bytes.getLong(), bytes.get() != 0));
        } catch (IOException e) {
            throw diskFailure(e);
        }
    }

    @Override
    public void save(DatabaseMetadata metadata) {
        ByteBuffer bytes = ByteBuffer.allocate(METADATA_BYTES + Integer.BYTES);
        bytes.putLong(metadata.incarnation())
                .putLong(metadata.term())
                .putLong(metadata.followedTerm())
                .putLong(metadata.fencedTerm())
                .put((byte) (metadata.trusted() ? 1 : 0))
                .putInt(checksum(bytes.slice(0, METADATA_BYTES)))
                .flip();
        Path temporary = directory.resolve("metadata.new");
        try {
            try (FileChannel file = FileChannel.open(
                    temporary,
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.TRUNCATE_EXISTING)) {
                writeFully(file, bytes);
                file.force(true);
            }
            Files.move(temporary, directory.resolve("metadata"), StandardCopyOption.ATOMIC_MOVE);
            syncDirectory();
        } catch (IOException e) {
            throw diskFailure(e);
        }
    }

    @Override
    public void append(List<LogEntry> entries) {
        try {
            long offset = endOffset(endOffsets.size());
            log.position(offset);
            for (LogEntry entry : entries) {
                ByteBuffer record = record(entry);
                offset += record.remaining();
                writeFully(log, record);
                endOffsets.add(offset);
            }
            log.force(false);
        } catch (IOException e) {
            throw diskFailure(e);
        }
    }

    @Override
    public void truncateLog(int remainingEntries, List<LogEntry> setAside) {
        try {
            try (FileChannel file = FileChannel.open(
                    directory.resolve("set-aside"),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE,
                    StandardOpenOption.APPEND)) {
                for (LogEntry entry : setAside) {
                    writeFully(file, record(entry));
                }
                file.force(true);
            }
            truncateFile(remainingEntries);
        } catch (IOException e) {
            throw diskFailure(e);
        }
    }

    private void truncateFile(int remainingEntries) throws IOException {
        endOffsets.subList(remainingEntries, endOffsets.size()).clear();
        log.truncate(endOffset(remainingEntries));
        log.force(true);
    }

    private void recover() throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(directory.resolve("log")));
        while (bytes.remaining() >= HEADER_BYTES) {
            int length = bytes.getInt();
            int checksum = bytes.getInt();
            if (length < 0 || length > bytes.remaining()) {
                break;
            }
            ByteBuffer entry = bytes.slice(bytes.position(), length);
            if (checksum(entry.duplicate()) != checksum) {
                break;
            }
            recovered.add(LogEntry.parseFrom(entry));
            bytes.position(bytes.position() + length);
            endOffsets.add((long) bytes.position());
        }
        truncateFile(endOffsets.size());
        syncDirectory();
    }

    private long endOffset(int entries) {
        return entries == 0 ? 0 : endOffsets.get(entries - 1);
    }

    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static ByteBuffer record(LogEntry entry) {
        byte[] bytes = entry.toByteArray();
        return ByteBuffer.allocate(HEADER_BYTES + bytes.length)
                .putInt(bytes.length)
                .putInt(checksum(ByteBuffer.wrap(bytes)))
                .put(bytes)
                .flip();
    }

    private static int checksum(ByteBuffer bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    private static void writeFully(FileChannel file, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            file.write(bytes);
        }
    }

    private static FailureException diskFailure(IOException cause) {
        return new FailureException(FailureType.DISK_FAILED, String.valueOf(cause.getMessage()), cause);
    }
}
