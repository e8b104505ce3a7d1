package org.hornbeamspread.control.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.core.consensus.Member;
import org.hornbeamspread.core.consensus.Membership;
import org.hornbeamspread.core.consensus.Payload;
import org.hornbeamspread.core.consensus.Snapshot;
import org.hornbeamspread.core.consensus.StoredState;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class DiskLogTest {
    /** One MiB, and the record that exceeds it. */
    private static final int MAX_FRAME_BYTES = (1 << 20) + 400_100;

    private static final Membership MEMBERS = new Membership(List.of(new Member("c1", 5, true)));

    @TempDir
    Path directory;

    private long nextPersistId = 1;

    @Test
    void persistedVoteAndRecordsAreReadBack() {
        try (DiskLog log = open()) {
            persist(log, vote(3, "c2"), records(1, 4, 2));
            persist(log, vote(4, "c1"), records(3, 6, 4));
        }
        StoredState stored = reopenedState();
        assertThat(stored.incarnation()).isEqualTo(5);
        assertThat(stored.term()).isEqualTo(4);
        assertThat(stored.votedFor()).isEqualTo(Optional.of("c1"));
        assertThat(stored.records().stream().map(LogRecord::term).toList())
                .containsExactly(2L, 2L, 4L, 4L, 4L, 4L)
                .inOrder();
    }

    @Test
    void aRewriteKeepsTheSnapshotAndTheRecordsAfterIt() {
        Snapshot snapshot = new Snapshot(4, 2, MEMBERS, Payload.copyOf(new byte[] {9}));
        try (DiskLog log = open()) {
            persist(log, Optional.empty(), records(1, 5, 2));
            rewrite(log, new ConsensusEffect.Rewrite(snapshot, 3, 2, records(4, 5, 2)));
            persist(log, Optional.empty(), records(6, 6, 3));
        }
        StoredState stored = reopenedState();
        assertThat(stored.snapshot()).isEqualTo(snapshot);
        assertThat(stored.baseIndex()).isEqualTo(3);
        assertThat(stored.records().stream().map(LogRecord::index).toList()).containsExactly(4L, 5L, 6L);
    }

    /**
     * A crash after the snapshot and before the log of a rewrite leaves the old log, which conflicts with the snapshot
     * of the leader. None of its records may be read.
     */
    @Test
    void aCrashBetweenTheFilesOfARewriteLeavesNoConflictingRecords() throws IOException {
        byte[] oldLog;
        try (DiskLog log = open()) {
            persist(log, Optional.empty(), records(1, 6, 2));
            oldLog = Files.readAllBytes(file("log"));
            Snapshot installed = new Snapshot(4, 3, MEMBERS, Payload.EMPTY);
            rewrite(log, new ConsensusEffect.Rewrite(installed, 4, 3, List.of()));
        }
        Files.write(file("log"), oldLog);
        try (DiskLog log = open()) {
            StoredState stored = log.takeStoredState();
            assertThat(stored.records()).isEmpty();
            assertThat(stored.baseIndex()).isEqualTo(4);
            persist(log, Optional.empty(), records(5, 5, 3));
        }
        assertThat(reopenedState().records()).hasSize(1);
    }

    /** Records of a grown configuration were encoded in one frame, which took several times their size of the heap. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void largeRecordsAreReadBackFromFramesOfLimitedSize(boolean rewritten) throws IOException {
        List<LogRecord> records = new ArrayList<>();
        for (long index = 1; index <= 20; index++) {
            records.add(new LogRecord(index, 1, largePayload(index), Optional.empty()));
        }
        try (DiskLog log = open()) {
            if (rewritten) {
                rewrite(log, new ConsensusEffect.Rewrite(Snapshot.NONE, 0, 0, records));
            } else {
                persist(log, Optional.empty(), records);
            }
        }

        assertThat(reopenedState().records()).isEqualTo(records);
        try (FileChannel log = FileChannel.open(file("log"))) {
            long offset = 0;
            while (offset < log.size()) {
                int length = Frame.read(log, offset).orElseThrow().length;
                assertThat(length).isAtMost(MAX_FRAME_BYTES);
                offset += Frame.HEADER_BYTES + length;
            }
        }
    }

    /** The disk fills up after some frames of a batch. The retry must not append the batch behind the frames of the first try. */
    @Test
    void aBatchOfSeveralFramesRefusedByAFullDiskLeavesNoFrames() throws IOException {
        AtomicInteger writes = new AtomicInteger();
        List<LogRecord> records = new ArrayList<>();
        for (long index = 1; index <= 8; index++) {
            records.add(new LogRecord(index, 1, largePayload(index), Optional.empty()));
        }
        try (DiskLog log = DiskLog.open(directory, "c1", "test", 5, List.of(), bytes -> {
            if (bytes > 100_000 && writes.incrementAndGet() == 3) {
                throw new IOException("No space left on device");
            }
        })) {
            long emptyBytes = Files.size(file("log"));
            FailureException failure =
                    assertThrows(FailureException.class, () -> persist(log, Optional.empty(), records));
            assertThat(failure.type()).isEqualTo(FailureType.DISK_FULL);
            assertThat(Files.size(file("log"))).isEqualTo(emptyBytes);
            persist(log, Optional.empty(), records);
        }

        assertThat(reopenedState().records()).isEqualTo(records);
    }

    private static Payload largePayload(long index) {
        return RecordCodec.payload(ControlCommand.newBuilder()
                .setProposedAtMs(index)
                .setReplaceRoutes(
                        RouteConfigurationDocument.newBuilder().setSource(ByteString.copyFrom(new byte[400_000])))
                .build());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 12, 20})
    void aTornLastWriteIsTruncated(int missingBytes) throws IOException {
        try (DiskLog log = open()) {
            persist(log, Optional.empty(), records(1, 2, 1));
            persist(log, Optional.empty(), records(3, 3, 1));
        }
        byte[] original = Files.readAllBytes(file("log"));
        Files.write(file("log"), Arrays.copyOf(original, original.length - missingBytes));
        try (DiskLog log = open()) {
            assertThat(log.takeStoredState().records()).hasSize(2);
            persist(log, Optional.empty(), records(3, 4, 2));
        }
        assertThat(reopenedState().records()).hasSize(4);
    }

    @ParameterizedTest
    @CsvSource({
        "log, 30, log at byte 28",
        "log, 2, log at byte 0",
        "vote, 13, vote at byte 0",
        "identity, 14, identity at byte 0"
    })
    void corruptionOfSyncedDataIsReportedWithFileAndOffset(String name, int atByte, String fileAndOffset)
            throws IOException {
        try (DiskLog log = open()) {
            persist(log, vote(3, "c2"), records(1, 2, 1));
            persist(log, Optional.empty(), records(3, 3, 1));
        }
        byte[] bytes = Files.readAllBytes(file(name));
        bytes[atByte] ^= 1;
        Files.write(file(name), bytes);
        FailureException failure = assertThrows(FailureException.class, this::open);
        assertThat(failure.type()).isEqualTo(FailureType.LOG_CORRUPTED);
        assertThat(failure.detail()).isEqualTo(fileAndOffset);
    }

    /** A single flipped bit in the log is either reported or treated as a torn last write; no record is altered. */
    @Test
    void noFlippedBitChangesARecord() throws IOException {
        try (DiskLog log = open()) {
            persist(log, vote(1, "c1"), records(1, 2, 1));
            persist(log, Optional.empty(), records(3, 4, 1));
        }
        byte[] original = Files.readAllBytes(file("log"));
        for (int bit = 0; bit < original.length * Byte.SIZE; bit++) {
            byte[] flipped = original.clone();
            flipped[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            Files.write(file("log"), flipped);
            try (DiskLog log = open()) {
                assertThat(log.takeStoredState().records()).isEqualTo(records(1, 2, 1));
            } catch (FailureException e) {
                assertThat(e.type()).isEqualTo(FailureType.LOG_CORRUPTED);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"log", "vote", "snapshot"})
    void aMissingFileIsRefused(String name) throws IOException {
        try (DiskLog log = open()) {
            persist(log, vote(3, "c2"), records(1, 5, 1));
            Snapshot snapshot = new Snapshot(4, 1, MEMBERS, Payload.EMPTY);
            rewrite(log, new ConsensusEffect.Rewrite(snapshot, 4, 1, records(5, 5, 1)));
        }
        Files.delete(file(name));
        assertThat(assertThrows(FailureException.class, this::open).type()).isEqualTo(FailureType.LOG_CORRUPTED);
    }

    @ParameterizedTest
    @CsvSource({"c2, test", "c1, other"})
    void aDirectoryOfAnotherMemberOrClusterIsRefused(String memberId, String clusterId) {
        open().close();
        FailureException failure = assertThrows(
                FailureException.class,
                () -> DiskLog.open(directory, memberId, clusterId, 6, List.of(), WriteInterceptor.NONE));
        assertThat(failure.type()).isEqualTo(FailureType.INVALID_SETTING);
    }

    @Test
    void aDirectoryInUseIsRefused() {
        try (DiskLog log = open()) {
            assertThat(assertThrows(FailureException.class, this::open).type()).isEqualTo(FailureType.INVALID_SETTING);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aWriteRefusedByAFullDiskCanBeRepeated(boolean withSnapshot) {
        boolean[] full = {false};
        WriteInterceptor interceptor = bytes -> {
            if (full[0]) {
                throw new IOException("No space left on device");
            }
        };
        try (DiskLog log = DiskLog.open(directory, "c1", "test", 5, List.of(), interceptor)) {
            persist(log, Optional.empty(), records(1, 2, 1));
            Snapshot snapshot = new Snapshot(2, 1, MEMBERS, Payload.EMPTY);
            Optional<ConsensusEffect.Rewrite> rewrite = withSnapshot
                    ? Optional.of(new ConsensusEffect.Rewrite(snapshot, 2, 1, List.of()))
                    : Optional.empty();
            List<ConsensusEffect.Persist> batch = List.of(new ConsensusEffect.Persist(
                    nextPersistId++, Optional.empty(), Optional.empty(), rewrite, records(3, 3, 1)));
            full[0] = true;
            FailureException failure = assertThrows(FailureException.class, () -> log.persist(batch, List.of()));
            assertThat(failure.type()).isEqualTo(FailureType.DISK_FULL);
            full[0] = false;
            log.persist(batch, List.of());
        }
        StoredState stored = reopenedState();
        assertThat(stored.baseIndex() + stored.records().size()).isEqualTo(3);
    }

    private DiskLog open() {
        return DiskLog.open(directory, "c1", "test", 5, List.of(), WriteInterceptor.NONE);
    }

    private StoredState reopenedState() {
        try (DiskLog log = open()) {
            return log.takeStoredState();
        }
    }

    private Path file(String name) {
        return directory.resolve(name);
    }

    private void persist(DiskLog log, Optional<ConsensusEffect.StoredVote> vote, List<LogRecord> records) {
        log.persist(
                List.of(new ConsensusEffect.Persist(
                        nextPersistId++, Optional.empty(), vote, Optional.empty(), records)),
                List.of());
    }

    private void rewrite(DiskLog log, ConsensusEffect.Rewrite rewrite) {
        log.persist(
                List.of(new ConsensusEffect.Persist(
                        nextPersistId++, Optional.empty(), Optional.empty(), Optional.of(rewrite), List.of())),
                List.of());
    }

    private static Optional<ConsensusEffect.StoredVote> vote(long term, String candidateId) {
        return Optional.of(new ConsensusEffect.StoredVote(term, Optional.of(candidateId)));
    }

    private static List<LogRecord> records(long first, long last, long term) {
        List<LogRecord> records = new ArrayList<>();
        for (long index = first; index <= last; index++) {
            ControlCommand command =
                    ControlCommand.newBuilder().setProposedAtMs(index).build();
            records.add(new LogRecord(index, term, RecordCodec.payload(command), Optional.empty()));
        }
        return records;
    }

    /** The initial members stay those of the first start, whatever later settings name. */
    @Test
    void initialMembersOfTheFirstStartAreKept() {
        List<ControlMember> initialMembers =
                List.of(ControlMember.newBuilder().setMemberId("c1").build());
        DiskLog.open(directory, "c1", "test", 5, initialMembers, WriteInterceptor.NONE)
                .close();

        try (DiskLog log = open()) {
            assertThat(log.firstStartMembers()).isEqualTo(initialMembers);
        }
    }

    @Test
    void directoryThatIsCreatedLaterHasNoInitialMembers() {
        open().close();
        List<ControlMember> laterMembers =
                List.of(ControlMember.newBuilder().setMemberId("c1").build());

        try (DiskLog log = DiskLog.open(directory, "c1", "test", 5, laterMembers, WriteInterceptor.NONE)) {
            assertThat(log.firstStartMembers()).isEmpty();
        }
    }
}
