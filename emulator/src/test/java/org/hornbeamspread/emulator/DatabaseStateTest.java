package org.hornbeamspread.emulator;

import static com.google.common.truth.Truth.assertThat;
import static org.hornbeamspread.emulator.TestDatabase.statement;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.LogRead;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.ReadLog;
import org.hornbeamspread.protocol.schema.Statement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost or resurrected entries and unsafe promotions after restarts, torn or corrupted log files, lost
 * disks and fences.
 */
final class DatabaseStateTest {
    private static final int MAX_ENTRIES = 1000;

    @TempDir
    private Path directory;

    @Test
    void aRestartPreservesLogTermAndFenceAndIncrementsTheIncarnation() {
        DatabaseState before = open();
        before.fence(4);
        before.promote(4);
        put(before, 4, "k", "v");
        before.fence(6);
        DatabaseState after = open();
        assertThat(after.lastPosition()).isEqualTo(new LogPosition(4, 2));
        assertThat(after.rows().get("t", "k")).hasValue("v");
        assertThat(after.metadata()).isEqualTo(new DatabaseMetadata(2, 6, 4, 6, true));
        assertThat(after.promote(6)).isEqualTo(new LogPosition(6, 3));
    }

    @Test
    void aRestartedPrimaryIsNoLongerPrimary() {
        DatabaseState before = primary();
        assertThat(before.isPrimary()).isTrue();
        DatabaseState after = open();
        assertThat(failureOf(() -> after.checkWritable(1))).isEqualTo(FailureType.NOT_PRIMARY);
        assertThat(failureOf(() -> after.promote(1))).isEqualTo(FailureType.WRONG_TERM);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 12})
    void aTornLogTailIsTruncated(int missingBytes) throws IOException {
        DatabaseState before = primary();
        put(before, 1, "kept", "v");
        put(before, 1, "torn", "v");
        Path log = directory.resolve("log");
        try (FileChannel file = FileChannel.open(log, StandardOpenOption.WRITE)) {
            file.truncate(Files.size(log) - missingBytes);
        }
        DatabaseState after = open();
        assertThat(after.lastPosition()).isEqualTo(new LogPosition(1, 2));
        after.fence(2);
        after.promote(2);
        put(after, 2, "next", "v");
        assertThat(open().rows().withPrefix("t", "").keySet()).containsExactly("kept", "next");
    }

    @Test
    void theLogIsTruncatedAtACorruptedEntry() throws IOException {
        DatabaseState before = primary();
        put(before, 1, "kept", "v");
        long keptBytes = Files.size(directory.resolve("log"));
        put(before, 1, "damaged", "v");
        put(before, 1, "behind", "v");
        try (FileChannel file = FileChannel.open(directory.resolve("log"), StandardOpenOption.WRITE)) {
            file.write(ByteBuffer.wrap(new byte[] {-1}), keptBytes + 12);
        }
        assertThat(open().rows().withPrefix("t", "").keySet()).containsExactly("kept");
    }

    @Test
    void aDatabaseThatLostItsDiskIsNotPromotedUntilReadmitted() {
        DatabaseState primary = primary();
        put(primary, 1, "k", "v");
        DatabaseState untrusted = inMemory(DatabaseMetadata.initial(7, false));
        untrusted.follow(1);
        assertThat(failureOf(() -> untrusted.readmit(1, 7))).isEqualTo(FailureType.WRONG_TERM);
        replicate(primary, untrusted, 1);
        assertThat(failureOf(() -> untrusted.readmit(1, 6))).isEqualTo(FailureType.WRONG_TERM);
        untrusted.fence(2);
        assertThat(failureOf(() -> untrusted.promote(2))).isEqualTo(FailureType.WRONG_TERM);
        assertThat(failureOf(() -> untrusted.readmit(2, 7))).isEqualTo(FailureType.WRONG_TERM);
        primary.fence(2);
        primary.promote(2);
        untrusted.follow(2);
        replicate(primary, untrusted, 2);
        untrusted.readmit(2, 7);
        untrusted.fence(3);
        assertThat(untrusted.promote(3).term()).isEqualTo(3);
    }

    @Test
    void entriesOfAnEarlierTermAreRefusedAfterAFence() {
        DatabaseState primary = primary();
        DatabaseState replica = inMemory(DatabaseMetadata.initial(1, true));
        replica.follow(1);
        replica.acceptLog(1, LogPosition.NONE);
        LogRead read = readLog(primary, 1, LogPosition.NONE);
        replica.fence(2);
        assertThat(failureOf(() -> replica.append(1, read.getEntriesList()))).isEqualTo(FailureType.WRONG_TERM);
        assertThat(replica.lastPosition()).isEqualTo(LogPosition.NONE);
    }

    @Test
    void concurrentAddsAccumulateAndConcurrentInsertsConflict() {
        DatabaseState state = primary();
        DatabaseTransaction one = transaction(state, statement("row.add", "t", "n", "1"));
        DatabaseTransaction two = transaction(state, statement("row.add", "t", "n", "1"));
        state.commit(one, "");
        state.commit(two, "");
        assertThat(state.rows().get("t", "n")).hasValue("2");
        DatabaseTransaction three = transaction(state, statement("row.insert", "t", "k", "3"));
        DatabaseTransaction four = transaction(state, statement("row.insert", "t", "k", "4"));
        state.commit(three, "");
        LogPosition before = state.lastPosition();
        assertThat(failureOf(() -> state.commit(four, ""))).isEqualTo(FailureType.STATEMENT_CONFLICT);
        assertThat(state.lastPosition()).isEqualTo(before);
        assertThat(state.rows().get("t", "k")).hasValue("3");
    }

    @Test
    void theFaultRemovesARowButKeepsItsLogEntry() {
        DatabaseState state = new DatabaseState(
                DatabaseDisk.none(), DatabaseMetadata.initial(1, true), List.of(), RowFault.dropAcknowledgedRow(2));
        state.fence(1);
        state.promote(1);
        put(state, 1, "a", "v");
        put(state, 1, "b", "v");
        put(state, 1, "c", "v");
        assertThat(state.rows().withPrefix("t", "").keySet()).containsExactly("a", "c");
        assertThat(state.lastPosition()).isEqualTo(new LogPosition(1, 4));
    }

    private DatabaseState open() {
        FileDatabaseDisk disk = new FileDatabaseDisk(directory);
        DatabaseMetadata metadata = disk.readMetadata()
                .map(saved -> saved.withIncarnation(saved.incarnation() + 1))
                .orElseGet(() -> DatabaseMetadata.initial(1, true));
        return new DatabaseState(disk, metadata, disk.recoveredEntries(), RowFault.none());
    }

    private DatabaseState primary() {
        DatabaseState state = open();
        state.fence(1);
        state.promote(1);
        return state;
    }

    private static DatabaseState inMemory(DatabaseMetadata metadata) {
        return new DatabaseState(DatabaseDisk.none(), metadata, List.of(), RowFault.none());
    }

    private static void put(DatabaseState state, long term, String key, String value) {
        DatabaseTransaction transaction = new DatabaseTransaction(term, false, state.rows());
        transaction.run(List.of(statement("row.put", "t", key, value)));
        state.commit(transaction, "");
    }

    private static DatabaseTransaction transaction(DatabaseState state, Statement statement) {
        DatabaseTransaction transaction = new DatabaseTransaction(1, false, state.rows());
        transaction.run(List.of(statement));
        return transaction;
    }

    private static void replicate(DatabaseState from, DatabaseState to, long term) {
        LogPosition after = to.lastPosition();
        to.acceptLog(term, after);
        to.append(term, readLog(from, term, after).getEntriesList());
    }

    private static LogRead readLog(DatabaseState from, long term, LogPosition after) {
        return from.readLog(ReadLog.newBuilder()
                .setTerm(term)
                .setMaxEntries(MAX_ENTRIES)
                .setAfter(Position.newBuilder().setTerm(after.term()).setIndex(after.indexEntries()))
                .build());
    }

    private static FailureType failureOf(Runnable work) {
        return assertThrows(FailureException.class, work::run).type();
    }
}
