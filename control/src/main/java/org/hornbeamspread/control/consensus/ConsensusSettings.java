package org.hornbeamspread.control.consensus;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.hornbeamspread.core.consensus.BootstrapMode;
import org.hornbeamspread.core.consensus.VoterPolicy;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlMember;

/**
 * The settings of one control member's replicated log.
 *
 * @param memberId the id of this member
 * @param clusterId the id of the cluster; a data directory of another cluster is refused
 * @param members the initial members, including this one; after the bootstrap the log's own records define the
 *     membership
 * @param dataDirectory the directory of the log; created when absent
 * @param electionTimeout the minimum time without contact to a leader before an election; each timeout is randomized up
 *     to twice this value
 * @param heartbeatInterval the interval of heartbeats from the leader
 * @param snapshotIntervalRecords the number of applied records between two snapshots
 * @param budgetBytes the number of bytes of applied records between two snapshots, and the limit on the bytes of uncommitted
 *     records; keeps the log in memory and on disk small when records are large
 * @param bootstrapMode how this member takes part in the bootstrap of the log
 * @param voterPolicy how many members vote
 */
public record ConsensusSettings(
        String memberId,
        String clusterId,
        List<ControlMember> members,
        Path dataDirectory,
        Duration electionTimeout,
        Duration heartbeatInterval,
        int snapshotIntervalRecords,
        long budgetBytes,
        BootstrapMode bootstrapMode,
        VoterPolicy voterPolicy) {
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final int SNAPSHOT_INTERVAL_RECORDS = 1_000;
    private static final long MAX_BUDGET_BYTES = 4 << 20;

    /**
     * Share of the heap. The log holds up to two and a quarter budgets: records since the snapshot, uncommitted and retained ones.
     * Encoding them for the disk and for followers takes about as much again.
     */
    private static final int HEAP_BYTES_PER_BUDGET_BYTE = 32;

    /** Checks that the members include this member. */
    public ConsensusSettings {
        members = List.copyOf(members);
        String id = memberId;
        if (members.stream().noneMatch(member -> member.getMemberId().equals(id))) {
            throw new FailureException(FailureType.INVALID_SETTING, "the members do not include " + memberId);
        }
    }

    /** The budget for the records of a log in a heap of the given size. */
    static long budgetBytes(long maxHeapBytes) {
        return Math.min(MAX_BUDGET_BYTES, maxHeapBytes / HEAP_BYTES_PER_BUDGET_BYTE);
    }

    /** Uses the default timings: an election after 500 to 1000 ms without a leader, a heartbeat every 100 ms. */
    public static ConsensusSettings of(
            String memberId, String clusterId, List<ControlMember> members, Path dataDirectory) {
        return new ConsensusSettings(
                memberId,
                clusterId,
                members,
                dataDirectory,
                ELECTION_TIMEOUT,
                HEARTBEAT_INTERVAL,
                SNAPSHOT_INTERVAL_RECORDS,
                budgetBytes(Runtime.getRuntime().maxMemory()),
                BootstrapMode.ALL_MEMBERS,
                VoterPolicy.EVERY_MEMBER);
    }

    /** The same settings with another part in the bootstrap of the log. */
    public ConsensusSettings withBootstrapMode(BootstrapMode mode) {
        return with(members, mode, voterPolicy);
    }

    /**
     * The settings of a process that starts again on the disk of a first start: it goes on to take part in the bootstrap, with the
     * initial members of that start.
     *
     * @param firstStartMembers the initial members on the disk; none if the disk is not that of a first start
     */
    ConsensusSettings resumingFirstStart(List<ControlMember> firstStartMembers) {
        return firstStartMembers.isEmpty() ? this : with(firstStartMembers, BootstrapMode.MAJORITY, voterPolicy);
    }

    /** The same settings with another number of voters. */
    public ConsensusSettings withVoterPolicy(VoterPolicy policy) {
        return with(members, bootstrapMode, policy);
    }

    private ConsensusSettings with(
            List<ControlMember> newMembers, BootstrapMode newBootstrapMode, VoterPolicy newVoterPolicy) {
        return new ConsensusSettings(
                memberId,
                clusterId,
                newMembers,
                dataDirectory,
                electionTimeout,
                heartbeatInterval,
                snapshotIntervalRecords,
                budgetBytes,
                newBootstrapMode,
                newVoterPolicy);
    }
}
