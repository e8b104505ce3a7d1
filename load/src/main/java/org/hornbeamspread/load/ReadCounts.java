package org.hornbeamspread.load;

import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** Counts of the reads that were answered. Used by one thread. */
final class ReadCounts {
    private long served;
    private long fromReplica;
    private long checks;
    private long violations;

    /** Counts a read that was answered. */
    void served(ExecuteResponse response) {
        served++;
        fromReplica += response.getFromReplica() ? 1 : 0;
    }

    /** Counts a check of read-your-writes. */
    void checked(boolean seen) {
        checks++;
        violations += seen ? 0 : 1;
    }

    long served() {
        return served;
    }

    long checks() {
        return checks;
    }

    long violations() {
        return violations;
    }

    /** Share of the answered reads that a replica served. */
    double replicaShare() {
        return served == 0 ? 0 : (double) fromReplica / served;
    }
}
