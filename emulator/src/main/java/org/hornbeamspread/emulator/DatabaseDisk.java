package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.protocol.schema.LogEntry;

/** Where a database keeps its log and metadata. Every method returns once the change is synced. */
interface DatabaseDisk {
    /** Replaces the metadata. Fails with DISK_FAILED. */
    void save(DatabaseMetadata metadata);

    /** Appends entries to the log. Fails with DISK_FAILED. */
    void append(List<LogEntry> entries);

    /** Cuts the log back to a number of entries and keeps those that were cut apart. Fails with DISK_FAILED. */
    void truncateLog(int remainingEntries, List<LogEntry> setAside);

    /** Keeps nothing: a database without a disk. */
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
