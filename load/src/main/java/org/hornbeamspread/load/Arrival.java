package org.hornbeamspread.load;

/**
 * One request's intended start.
 *
 * @param atUs time since the start of the run; negative in the warm-up
 * @param rank index of the rank in the workload
 * @param flood whether a flood brought it
 */
record Arrival(long atUs, int rank, boolean flood) {
    /** Whether it counts in the report's figures by rank; the ledger and the audit take in every payment. */
    boolean isMeasured() {
        return atUs >= 0;
    }
}
