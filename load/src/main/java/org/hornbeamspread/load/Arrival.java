package org.hornbeamspread.load;

/**
 * One request's intended start.
 *
 * @param atUs time since the start of the run
 * @param rank index of the rank in the workload
 * @param flood whether a flood brought it
 */
record Arrival(long atUs, int rank, boolean flood) {}
