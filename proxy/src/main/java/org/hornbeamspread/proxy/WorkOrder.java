package org.hornbeamspread.proxy;

import java.time.Instant;

/**
 * On whose behalf work runs at a database, and until when.
 *
 * @param rank the rank's name
 * @param callerId who asked
 * @param deadline when the answer must be there
 */
record WorkOrder(String rank, String callerId, Instant deadline) {}
