package org.hornbeamspread.control.consensus;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
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
 * @param mayBootstrap false for a member that joins a cluster which other members bootstrap or have bootstrapped
 */
public record ConsensusSettings(
        String memberId,
        String clusterId,
        List<ControlMember> members,
        Path dataDirectory,
        Duration electionTimeout,
        Duration heartbeatInterval,
        int snapshotIntervalRecords,
        boolean mayBootstrap) {
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(500);
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(100);
    private static final int SNAPSHOT_INTERVAL_RECORDS = 1_000;

    /** Checks that the members include this member. */
    public ConsensusSettings {
        members = List.copyOf(members);
        String id = memberId;
        if (members.stream().noneMatch(member -> member.getMemberId().equals(id))) {
            throw new FailureException(FailureType.INVALID_SETTING, "the members do not include " + memberId);
        }
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
                true);
    }

    /** The same settings for a member that joins a cluster which other members bootstrap or have bootstrapped. */
    public ConsensusSettings joining() {
        return new ConsensusSettings(
                memberId,
                clusterId,
                members,
                dataDirectory,
                electionTimeout,
                heartbeatInterval,
                snapshotIntervalRecords,
                false);
    }
}
