package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * Proof that an instance leads as the primary.
 *
 * @param position the end of the primary's log
 * @param requestedAtMs when the proof was requested, by the leader's clock
 */
public record PrimaryProof(LogPosition position, long requestedAtMs) {}
