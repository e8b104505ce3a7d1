package org.hornbeamspread.load;

/**
 * The intended start of one request.
 *
 * @param atUs time since the start of the run in microseconds; negative during the warm-up
 * @param rank the index of the rank in the workload
 * @param flood whether the request belongs to a flood
 */
record Arrival(long atUs, int rank, boolean flood) {
    /**
     * Whether the report's figures include the request. The ledger and the audit include every payment, also of the
     * warm-up.
     */
    boolean isMeasured() {
        return atUs >= 0;
    }
}
