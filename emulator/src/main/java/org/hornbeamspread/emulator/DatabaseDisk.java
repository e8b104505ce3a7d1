package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.protocol.schema.LogEntry;

/**
 * Persistent storage for the log and metadata of a database. Every method returns after the change is synced to disk.
 */
interface DatabaseDisk {
    /** Replaces the metadata. Fails with DISK_FAILED. */
    void save(DatabaseMetadata metadata);

    /** Appends entries to the log. Fails with DISK_FAILED. */
    void append(List<LogEntry> entries);

    /** Truncates the log to a number of entries and stores the removed entries separately. Fails with DISK_FAILED. */
    void truncateLog(int remainingEntries, List<LogEntry> setAside);

    /** A disk that stores nothing, for databases without persistence. */
    static DatabaseDisk none() {
        return new DatabaseDisk() {
            @Override
            public void save(DatabaseMetadata metadata) {}

            @Override
            public void append(List<LogEntry> entries) {}

            @Override
            public void truncateLog(int remainingEntries, List<LogEntry> setAside) {}
        };
    }
}
