package org.hornbeamspread.core.consensus;

/**
 * The timeouts and limits of a log.
 *
 * @param electionTimeoutMs the shortest time without a leader before an election; each timeout is drawn at random
 *     between this and twice this
 * @param heartbeatMs the interval between the heartbeats of a leader
 * @param batchBytes the approximate limit on the bytes of records in one message
 * @param maxUncommittedRecords the number of uncommitted records at which a leader rejects further proposals
 * @param maxUncommittedBytes the bytes of uncommitted records at which a leader rejects further proposals; a single record may
 *     be larger
 * @param retainedRecords how many records before a snapshot are retained at most, for followers that lag slightly
 * @param retainedBytes the limit on the bytes of these records
 * @param voterPolicy how many members vote
 */
public record ConsensusParameters(
        long electionTimeoutMs,
        long heartbeatMs,
        int batchBytes,
        int maxUncommittedRecords,
        long maxUncommittedBytes,
        int retainedRecords,
        long retainedBytes,
        VoterPolicy voterPolicy) {
    private static final int BATCH_BYTES = 256 << 10;
    private static final int MAX_UNCOMMITTED_RECORDS = 8_192;
    private static final int RETAINED_RECORDS = 256;

    /** A follower that lags further receives the snapshot, which is smaller than the records once records are large. */
    private static final int RETAINED_BUDGET_DIVISOR = 4;

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

    /**
     * Parameters with the default limits.
     *
     * @param budgetBytes the limit on the bytes of uncommitted records, and of four times the records before a snapshot
     */
    public static ConsensusParameters of(
            long electionTimeoutMs, long heartbeatMs, long budgetBytes, VoterPolicy voterPolicy) {
        return new ConsensusParameters(
                electionTimeoutMs,
                heartbeatMs,
                BATCH_BYTES,
                MAX_UNCOMMITTED_RECORDS,
                budgetBytes,
                RETAINED_RECORDS,
                budgetBytes / RETAINED_BUDGET_DIVISOR,
                voterPolicy);
    }
}
