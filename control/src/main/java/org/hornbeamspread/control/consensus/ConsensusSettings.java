package org.hornbeamspread.control.consensus;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlMember;

/**
 * What a control member's log is started with.
 *
 * @param memberId this member
 * @param clusterId names the log; a data directory of another one is refused
 * @param members the members to form the log with, this one included; once formed, the log's own records decide
 * @param dataDirectory where the log lives; made when absent
 * @param electionTimeout the shortest silence of a leader before an election; each wait is up to twice as long
 * @param heartbeatInterval how often a leader sends
 * @param snapshotIntervalRecords how many records are applied between two snapshots
 * @param mayForm false for a member that joins a log which others form or have formed
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

    /** Checks that this member is among the members. */
    public ConsensusSettings {
        members = List.copyOf(members);
        String id = memberId;
        if (members.stream().noneMatch(member -> member.getMemberId().equals(id))) {
            throw new FailureException(FailureType.INVALID_SETTING, "members do not name " + memberId);
        }
    }

    /** The usual times: an election after 500 to 1000 ms of silence, a heartbeat each 100 ms. */
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

    /** The same for a member that joins a log which others form or have formed. */
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
