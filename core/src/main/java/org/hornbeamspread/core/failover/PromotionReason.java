package org.hornbeamspread.core.failover;

/** The reason for which a promotion was started. */
public enum PromotionReason {
    /** All databases of the group are registered, and the group never had a primary. */
    FIRST,
    /** The primary is suspected to have failed. */
    LOST,
    /** The primary lost its disk. */
    DISK_LOST,
    /** The primary's process restarted and no longer acts as primary. */
    RESTARTED,
    /** A database is at a higher term than the log. */
    HIGHER_TERM,
    /** The chosen database did not become primary in time. */
    NOT_PROMOTED,
    /** The primary departs, or an operator requested a handover. */
    HANDOVER;

    /** Whether the promotion replaces a primary that failed, as opposed to a first promotion or a handover. */
    boolean replacesLostPrimary() {
        return this == LOST || this == DISK_LOST || this == RESTARTED;
    }
}
