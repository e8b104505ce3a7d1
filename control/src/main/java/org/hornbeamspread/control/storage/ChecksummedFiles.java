package org.hornbeamspread.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Small files of one directory that are replaced atomically: the new content is written to a temporary file, which is
 * synced and renamed, then the directory is synced.
 */
final class ChecksummedFiles {
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path directory;
    private final WriteInterceptor interceptor;

    ChecksummedFiles(Path directory, WriteInterceptor interceptor) {
        this.directory = directory;
        this.interceptor = interceptor;
    }

    Path path(String name) {
        return directory.resolve(name);
    }

    /** The body of a file with a single frame; empty when the file does not exist. Fails with LOG_CORRUPTED. */
    Optional<byte[]> read(String name) throws IOException {
        Path path = path(name);
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        try (FileChannel file = FileChannel.open(path, StandardOpenOption.READ)) {
            Optional<byte[]> body = Frame.read(file, 0);
            if (body.isEmpty() || body.get().length + Frame.HEADER_BYTES != file.size()) {
                throw corrupted(path, 0);
            }
            return body;
        }
    }

    /** Replaces a file atomically by one frame for each body. */
    void replace(String name, List<byte[]> bodies) throws IOException {
        Path temporary = path(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                temporary, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (byte[] body : bodies) {
                write(channel, Frame.encode(body));
            }
            channel.force(true);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
        Files.move(temporary, path(name), StandardCopyOption.ATOMIC_MOVE);
        syncDirectory();
    }

    void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        interceptor.beforeWrite(bytes.remaining());
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static FailureException corrupted(Path file, long offset) {
        return new FailureException(FailureType.LOG_CORRUPTED, file.getFileName() + " at byte " + offset);
    }

    /**
     * Maps an I/O error to DISK_FULL if its message reports a lack of space or an exceeded quota, else to DISK_FAILED.
     */
    static FailureException toFailure(IOException error) {
        String message = String.valueOf(error.getMessage());
        boolean full = message.toLowerCase(Locale.ROOT).contains("no space left")
                || message.toLowerCase(Locale.ROOT).contains("quota exceeded");
        return new FailureException(full ? FailureType.DISK_FULL : FailureType.DISK_FAILED, message, error);
    }
}
