package org.hornbeamspread.core.failover;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * A primary's proof that it leads.
 *
 * @param position the end of its log
 * @param askedAtMs when it was asked, by the leader's clock
 */
public record PrimaryProof(LogPosition position, long requestedAtMs) {}
