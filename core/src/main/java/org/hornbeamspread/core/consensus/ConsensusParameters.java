package org.hornbeamspread.core.consensus;

/**
 * The timeouts and limits of a log.
 *
 * @param electionTimeoutMs the shortest time without a leader before an election; each timeout is drawn at random
 *     between this and twice this
 * @param heartbeatMs the interval between the heartbeats of a leader
 * @param batchBytes the approximate limit on the bytes of records in one message
 * @param maxUncommittedRecords the number of uncommitted records at which a leader rejects further proposals
 * @param retainedRecords how many records before a snapshot are retained for followers that lag slightly
 */
public record ConsensusParameters(
        long electionTimeoutMs, long heartbeatMs, int batchBytes, int maxUncommittedRecords, int retainedRecords) {
    /**
     * How long a member that has just started assumes that a leader exists: an active leader sends a heartbeat to it
     * within this time. After this time and a jitter the member becomes a candidate.
     */
    public long firstElectionDelayMs() {
        return Math.min(electionTimeoutMs, heartbeatMs);
    }

    /**
     * The jitter that spreads the first elections of members which start simultaneously, so that few votes are split.
     */
    public long firstElectionJitterMs() {
        return Math.min(electionTimeoutMs, 2 * heartbeatMs);
    }

    /** Parameters with the default limits. */
    public static ConsensusParameters of(long electionTimeoutMs, long heartbeatMs) {
        return new ConsensusParameters(electionTimeoutMs, heartbeatMs, 256 << 10, 8_192, 256);
    }
}
