package org.hornbeamspread.core.consensus;

/**
 * The times and limits of a log.
 *
 * @param electionTimeoutMs the shortest silence before an election; each wait is drawn from it to twice as long
 * @param heartbeatMs how often a leader sends
 * @param batchBytes about how many bytes of records go into one message
 * @param uncommittedRecords how many records a leader holds uncommitted before it refuses more
 * @param retainedRecords how many records are kept behind a snapshot for followers that lag a little
 */
public record ConsensusParameters(
        long electionTimeoutMs, long heartbeatMs, int batchBytes, int maxUncommittedRecords, int retainedRecords) {
    /**
     * For how long a member that has just started takes a leader for alive that it has not heard: a living one sends to it in this
     * time. Then it stands for election itself.
     */
    public long firstElectionDelayMs() {
        return Math.min(electionTimeoutMs, heartbeatMs);
    }

    /** Over which the first elections of members that start at once are spread, so that few votes are split. */
    public long firstElectionJitterMs() {
        return Math.min(electionTimeoutMs, 2 * heartbeatMs);
    }

    /** With the usual limits. */
    public static ConsensusParameters of(long electionTimeoutMs, long heartbeatMs) {
        return new ConsensusParameters(electionTimeoutMs, heartbeatMs, 256 << 10, 8_192, 256);
    }
}
