package org.hornbeamspread.load;

import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** Counts of the served reads. Used by one thread. */
final class ReadCounts {
    private long served;
    private long fromReplica;
    private long checks;
    private long violations;

    /** Counts a served read. */
    void served(ExecuteResponse response) {
        served++;
        fromReplica += response.getFromReplica() ? 1 : 0;
    }

    /** Counts a check of read-your-writes; it is a violation unless the session's write was visible. */
    void checked(boolean visible) {
        checks++;
        violations += visible ? 0 : 1;
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

    /** The share of the served reads that a replica served. */
    double replicaShare() {
        return served == 0 ? 0 : (double) fromReplica / served;
    }
}
