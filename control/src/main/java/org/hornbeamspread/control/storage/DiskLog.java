package org.hornbeamspread.control.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.LogRecord;
import org.hornbeamspread.core.consensus.Membership;
import org.hornbeamspread.core.consensus.Payload;
import org.hornbeamspread.core.consensus.Snapshot;
import org.hornbeamspread.core.consensus.StoredState;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ChangeMembers;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.InstallSnapshot;
import org.hornbeamspread.protocol.schema.Introduced;
import org.hornbeamspread.protocol.schema.Vote;

/**
 * The data directory of a control member. It holds the files {@code identity} (cluster, member and incarnation that own
 * the directory), {@code formed} (the initial membership), {@code vote}, {@code snapshot} and {@code log}, and
 * {@code first-start} (the initial members) if it was created at the first start of a deployment. Each file has checksums;
 * all but the log are replaced atomically. The identity is written last when the directory is created, so a directory with
 * an identity but without a log has lost its log. Used by a single thread after it is opened.
 */
public final class DiskLog implements AutoCloseable {
    private static final String IDENTITY = "identity";
    private static final String INITIAL_MEMBERSHIP = "formed";
    private static final String FIRST_START = "first-start";
    private static final String VOTE = "vote";
    private static final String SNAPSHOT = "snapshot";
    private static final String LOG = "log";
    private static final String LOCK = "lock";

    /** A frame of several records ends with the record that reaches this size. */
    private static final long MAX_FRAME_BYTES = 1 << 20;

    private final ChecksummedFiles files;
    private final FileChannel lock;
    private final List<ControlMember> snapshotMembers;
    private final List<ControlMember> firstStartMembers;

    /** The content when the directory was opened; empty once it was taken, so that its records can be discarded. */
    private Optional<StoredState> storedState;

    private FileChannel log;

    private DiskLog(
            ChecksummedFiles files,
            FileChannel lock,
            StoredState stored,
            List<ControlMember> snapshotMembers,
            List<ControlMember> firstStartMembers)
            throws IOException {
        this.files = files;
        this.lock = lock;
        this.storedState = Optional.of(stored);
        this.snapshotMembers = snapshotMembers;
        this.firstStartMembers = firstStartMembers;
        this.log = openLog();
    }

    /**
     * Opens a data directory and creates its files if it is empty. Fails with INVALID_SETTING when the directory
     * belongs to another member or is in use, and with LOG_CORRUPTED, DISK_FULL or DISK_FAILED.
     *
     * @param newIncarnation the incarnation of this member if the directory is empty
     * @param firstStartMembers the initial members, which are stored if the directory is empty; none if this is not the
     *     first start of a deployment
     */
    public static DiskLog open(
            Path directory,
            String memberId,
            String clusterId,
            long newIncarnation,
            List<ControlMember> firstStartMembers,
            WriteInterceptor interceptor) {
        try {
            Files.createDirectories(directory);
            FileChannel lock = lock(directory.resolve(LOCK));
            try {
                ChecksummedFiles files = new ChecksummedFiles(directory, interceptor);
                return open(files, lock, memberId, clusterId, newIncarnation, firstStartMembers);
            } catch (IOException | RuntimeException e) {
                lock.close();
                throw e;
            }
        } catch (IOException e) {
            throw ChecksummedFiles.toFailure(e);
        }
    }

    /** Returns the content of the directory when it was opened. May be called once. */
    public StoredState takeStoredState() {
        StoredState taken = storedState.orElseThrow();
        storedState = Optional.empty();
        return taken;
    }

    /** The members of the stored snapshot, with their endpoints. */
    public List<ControlMember> snapshotMembers() {
        return snapshotMembers;
    }

    /** The initial members with their endpoints if the directory was created at the first start of a deployment, else none. */
    public List<ControlMember> firstStartMembers() {
        return firstStartMembers;
    }

    /**
     * Writes and syncs a batch. Fails with DISK_FULL, after which the same call may be repeated, or with DISK_FAILED,
     * after which this member must neither write nor acknowledge anything.
     *
     * @param persists the batch, oldest first
     * @param members the members with their endpoints, which are stored with a snapshot
     */
    public void persist(List<ConsensusEffect.Persist> persists, List<ControlMember> members) {
        try {
            Optional<ConsensusEffect.StoredVote> vote = persists.stream()
                    .flatMap(persist -> persist.vote().stream())
                    .reduce((earlier, later) -> later);
            if (vote.isPresent()) {
                writeVote(files, vote.get().term(), vote.get().votedFor());
            }
            List<LogRecord> records = new ArrayList<>();
            for (ConsensusEffect.Persist persist : persists) {
                if (persist.initialMembership().isPresent()) {
                    writeInitialMembership(persist.initialMembership().get());
                }
                if (persist.rewrite().isPresent()) {
                    records.clear();
                    rewrite(persist.rewrite().get(), members);
                }
                records.addAll(persist.records());
            }
            append(records);
        } catch (IOException e) {
            throw ChecksummedFiles.toFailure(e);
        }
    }

    @Override
    public void close() {
        try {
            log.close();
            lock.close();
        } catch (IOException e) {
            throw ChecksummedFiles.toFailure(e);
        }
    }

    private static DiskLog open(
            ChecksummedFiles files,
            FileChannel lock,
            String memberId,
            String clusterId,
            long newIncarnation,
            List<ControlMember> firstStartMembers)
            throws IOException {
        Optional<byte[]> identity = files.read(IDENTITY);
        long incarnation = newIncarnation;
        if (identity.isPresent()) {
            incarnation = checkIdentity(files, identity.get(), memberId, clusterId);
        } else {
            if (!firstStartMembers.isEmpty()) {
                ChangeMembers members = ChangeMembers.newBuilder()
                        .addAllMembers(firstStartMembers)
                        .build();
                files.replace(FIRST_START, List.of(members.toByteArray()));
            }
            create(files, memberId, clusterId, newIncarnation);
        }
        InstallSnapshot snapshot =
                InstallSnapshot.parseFrom(files.read(SNAPSHOT).orElse(new byte[0]));
        ChangeMembers storedMembers =
                ChangeMembers.parseFrom(files.read(FIRST_START).orElse(new byte[0]));
        return new DiskLog(
                files,
                lock,
                load(files, incarnation, snapshot),
                snapshot.getMembersList(),
                storedMembers.getMembersList());
    }

    private static StoredState load(ChecksummedFiles files, long incarnation, InstallSnapshot wire) throws IOException {
        Vote vote = Vote.parseFrom(readRequired(files, VOTE));
        Optional<byte[]> initialMembership = files.read(INITIAL_MEMBERSHIP);
        Optional<Membership> members = initialMembership.isPresent()
                ? Optional.of(RecordCodec.membership(
                        ChangeMembers.parseFrom(initialMembership.get()).getMembersList()))
                : Optional.empty();
        Snapshot snapshot = snapshot(wire);
        if (!Files.exists(files.path(LOG))) {
            throw ChecksummedFiles.corrupted(files.path(LOG), 0);
        }
        LogReader reader = new LogReader(files.path(LOG)).read();
        truncateTornTail(files, reader.validBytes());
        Optional<String> votedFor =
                vote.getCandidateId().isEmpty() ? Optional.empty() : Optional.of(vote.getCandidateId());
        if (reader.baseIndex() > snapshot.lastIndex()) {
            throw ChecksummedFiles.corrupted(files.path(SNAPSHOT), 0);
        }
        StoredState state = new StoredState(
                incarnation,
                members,
                vote.getTerm(),
                votedFor,
                snapshot,
                reader.baseIndex(),
                reader.baseTerm(),
                reader.records());
        if (reachesSnapshot(reader, snapshot)) {
            return state;
        }
        files.replace(LOG, List.of(LogReader.encodeBase(snapshot.lastIndex(), snapshot.lastTerm())));
        return withoutRecords(state);
    }

    /**
     * Whether the log contains, or starts at, the last record of the snapshot, with the same term. After a crash
     * between the two files of a rewrite the log may end before the snapshot or conflict with the snapshot.
     */
    private static boolean reachesSnapshot(LogReader reader, Snapshot snapshot) {
        long offset = snapshot.lastIndex() - reader.baseIndex();
        if (offset == 0) {
            return reader.baseTerm() == snapshot.lastTerm();
        }
        return offset <= reader.records().size()
                && reader.records().get((int) offset - 1).term() == snapshot.lastTerm();
    }

    private static StoredState withoutRecords(StoredState state) {
        return new StoredState(
                state.incarnation(),
                state.initialMembership(),
                state.term(),
                state.votedFor(),
                state.snapshot(),
                state.snapshot().lastIndex(),
                state.snapshot().lastTerm(),
                List.of());
    }

    private static Snapshot snapshot(InstallSnapshot wire) {
        return new Snapshot(
                wire.getLastIndex(),
                wire.getLastTerm(),
                RecordCodec.membership(wire.getMembersList()),
                Payload.copyOf(wire.getState().toByteArray()));
    }

    private static void truncateTornTail(ChecksummedFiles files, long endBytes) throws IOException {
        try (FileChannel channel = FileChannel.open(files.path(LOG), StandardOpenOption.WRITE)) {
            if (channel.size() > endBytes) {
                channel.truncate(endBytes);
                channel.force(true);
            }
        }
    }

    private static byte[] readRequired(ChecksummedFiles files, String name) throws IOException {
        return files.read(name).orElseThrow(() -> ChecksummedFiles.corrupted(files.path(name), 0));
    }

    private static long checkIdentity(ChecksummedFiles files, byte[] bytes, String memberId, String clusterId)
            throws InvalidProtocolBufferException {
        Introduced identity = Introduced.parseFrom(bytes);
        String owner = clusterId + "/" + memberId;
        if (!identity.getMemberId().equals(owner)) {
            throw new FailureException(
                    FailureType.INVALID_SETTING,
                    files.path(IDENTITY).getFileName() + " belongs to " + identity.getMemberId() + ", not to " + owner);
        }
        return identity.getIncarnation();
    }

    private static void create(ChecksummedFiles files, String memberId, String clusterId, long incarnation)
            throws IOException {
        if (Files.exists(files.path(LOG))
                && !new LogReader(files.path(LOG)).read().records().isEmpty()) {
            throw new FailureException(FailureType.LOG_CORRUPTED, "the log has records but no identity");
        }
        writeVote(files, 0, Optional.empty());
        files.replace(LOG, List.of(LogReader.encodeBase(0, 0)));
        Introduced identity = Introduced.newBuilder()
                .setMemberId(clusterId + "/" + memberId)
                .setIncarnation(incarnation)
                .build();
        files.replace(IDENTITY, List.of(identity.toByteArray()));
    }

    private static FileChannel lock(Path path) throws IOException {
        FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (channel.tryLock() != null) {
                return channel;
            }
        } catch (OverlappingFileLockException e) {
            // The lock is held by this process: fails as if another process held the lock.
        }
        channel.close();
        throw new FailureException(FailureType.INVALID_SETTING, "the data directory is in use");
    }

    private static void writeVote(ChecksummedFiles files, long term, Optional<String> votedFor) throws IOException {
        Vote vote = Vote.newBuilder()
                .setTerm(term)
                .setCandidateId(votedFor.orElse(""))
                .build();
        files.replace(VOTE, List.of(vote.toByteArray()));
    }

    private void writeInitialMembership(Membership members) throws IOException {
        ChangeMembers wire = ChangeMembers.newBuilder()
                .addAllMembers(RecordCodec.wire(members))
                .build();
        files.replace(INITIAL_MEMBERSHIP, List.of(wire.toByteArray()));
    }

    private void rewrite(ConsensusEffect.Rewrite rewrite, List<ControlMember> endpoints) throws IOException {
        Snapshot snapshot = rewrite.snapshot();
        InstallSnapshot wire = InstallSnapshot.newBuilder()
                .setLastIndex(snapshot.lastIndex())
                .setLastTerm(snapshot.lastTerm())
                .setState(RecordCodec.bytes(snapshot.state()))
                .addAllMembers(withEndpoints(snapshot.membership(), endpoints))
                .build();
        files.replace(SNAPSHOT, List.of(wire.toByteArray()));
        List<byte[]> bodies = new ArrayList<>();
        bodies.add(LogReader.encodeBase(rewrite.baseIndex(), rewrite.baseTerm()));
        chunks(rewrite.records()).forEach(chunk -> bodies.add(LogReader.encodeRecords(chunk)));
        files.replace(LOG, bodies);
        log.close();
        log = openLog();
    }

    private void append(List<LogRecord> records) throws IOException {
        if (records.isEmpty()) {
            return;
        }
        long previousEnd = log.position();
        for (List<LogRecord> chunk : chunks(records)) {
            try {
                files.write(log, Frame.encode(LogReader.encodeRecords(chunk)));
            } catch (IOException e) {
                log.truncate(previousEnd);
                throw e;
            }
            try {
                log.force(false);
            } catch (IOException e) {
                throw new FailureException(FailureType.DISK_FAILED, String.valueOf(e.getMessage()), e);
            }
        }
    }

    /** Splits records so that the frame of each part, of which some copies are made, is small or has a single record. */
    private static List<List<LogRecord>> chunks(List<LogRecord> records) {
        List<List<LogRecord>> chunks = new ArrayList<>();
        int start = 0;
        long bytes = 0;
        for (int i = 0; i < records.size(); i++) {
            bytes += records.get(i).payload().sizeBytes();
            if (bytes >= MAX_FRAME_BYTES || i == records.size() - 1) {
                chunks.add(records.subList(start, i + 1));
                start = i + 1;
                bytes = 0;
            }
        }
        return chunks;
    }

    /** The wire form of a membership, with the endpoints of the members that have one in the list. */
    public static List<ControlMember> withEndpoints(Membership membership, List<ControlMember> endpoints) {
        return RecordCodec.wire(membership).stream()
                .map(member -> endpoints.stream()
                        .filter(candidate -> candidate.getMemberId().equals(member.getMemberId()))
                        .findFirst()
                        .map(candidate -> member.toBuilder()
                                .setPeer(candidate.getPeer())
                                .setHttp(candidate.getHttp())
                                .build())
                        .orElse(member))
                .toList();
    }

    private FileChannel openLog() throws IOException {
        FileChannel channel = FileChannel.open(files.path(LOG), StandardOpenOption.WRITE);
        channel.position(channel.size());
        return channel;
    }
}
