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

/** Small files of one directory that are replaced as a whole: written aside, synced, renamed, directory synced. */
final class ChecksummedFiles {
    private static final String TEMPORARY_SUFFIX = ".new";

    private final Path directory;
    private final WriteInterceptor guard;

    ChecksummedFiles(Path directory, WriteInterceptor guard) {
        this.directory = directory;
        this.guard = guard;
    }

    Path path(String name) {
        return directory.resolve(name);
    }

    /** The body of a file of one frame; empty when there is no such file. Fails with LOG_CORRUPTED. */
    Optional<byte[]> read(String name) throws IOException {
        Path path = path(name);
        if (!Files.exists(path)) {
            return Optional.empty();
        }
        byte[] file = Files.readAllBytes(path);
        Optional<byte[]> body = Frame.decode(file, 0);
        if (body.isEmpty() || body.get().length + Frame.HEADER_BYTES != file.length) {
            throw corrupted(path, 0);
        }
        return body;
    }

    /** Replaces a file by one of the given frames. */
    void replace(String name, List<byte[]> bodies) throws IOException {
        Path aside = path(name + TEMPORARY_SUFFIX);
        try (FileChannel channel = FileChannel.open(
                aside, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
            for (byte[] body : bodies) {
                write(channel, Frame.encode(body));
            }
            channel.force(true);
        } catch (IOException e) {
            Files.deleteIfExists(aside);
            throw e;
        }
        Files.move(aside, path(name), StandardCopyOption.ATOMIC_MOVE);
        syncDirectory();
    }

    void write(FileChannel channel, ByteBuffer bytes) throws IOException {
        guard.beforeWrite(bytes.remaining());
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

    /** DISK_FULL when the disk says so, else DISK_FAILED. */
    static FailureException toFailure(IOException error) {
        String message = String.valueOf(error.getMessage());
        boolean full = message.toLowerCase(Locale.ROOT).contains("no space left")
                || message.toLowerCase(Locale.ROOT).contains("quota exceeded");
        return new FailureException(full ? FailureType.DISK_FULL : FailureType.DISK_FAILED, message, error);
    }
}
