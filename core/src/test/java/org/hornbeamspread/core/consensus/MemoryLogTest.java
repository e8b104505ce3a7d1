package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The records retained before a snapshot were limited by their number only, so that large ones filled the heap (review case 3). */
final class MemoryLogTest {
    private static final int RECORDS = 10;
    private static final int RECORD_BYTES = 100;

    @ParameterizedTest
    @CsvSource({"4, 1000, 6", "20, 1000, 0", "4, 250, 8", "4, 99, 10", "0, 1000, 10"})
    void compactionRetainsRecordsWithinBothLimits(int retainedRecords, long retainedBytes, long expectedBaseIndex) {
        List<LogRecord> records = new ArrayList<>();
        for (long index = 1; index <= RECORDS; index++) {
            records.add(new LogRecord(index, 1, Payload.copyOf(new byte[RECORD_BYTES]), Optional.empty()));
        }
        MemoryLog log =
                new MemoryLog(new StoredState(1, Optional.empty(), 1, Optional.empty(), Snapshot.NONE, 0, 0, records));

        log.compact(new Snapshot(RECORDS, 1, Membership.NONE, Payload.EMPTY), retainedRecords, retainedBytes);

        assertThat(log.baseIndex()).isEqualTo(expectedBaseIndex);
        assertThat(log.lastIndex()).isEqualTo(RECORDS);
        assertThat(log.termAt(expectedBaseIndex)).isEqualTo(expectedBaseIndex == 0 ? 0 : 1);
    }
}
