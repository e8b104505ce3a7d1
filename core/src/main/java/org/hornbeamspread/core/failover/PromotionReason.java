package org.hornbeamspread.core.failover;

/** Why a promotion was started. */
public enum PromotionReason {
    /** The group has its databases and never had a primary. */
    FIRST,
    /** The primary is taken for lost. */
    LOST,
    /** The primary lost its disk. */
    DISK_LOST,
    /** The primary's process restarted and no longer acts as primary. */
    RESTARTED,
    /** A database is at a higher term than the log. */
    HIGHER_TERM,
    /** The chosen database did not become primary in time. */
    NOT_PROMOTED,
    /** The primary departs, or an operator asked for another one. */
    HANDOVER;

    /** Whether a primary was lost, rather than replaced on purpose or never there. */
    boolean replacesLostPrimary() {
        return this == LOST || this == DISK_LOST || this == RESTARTED;
    }
}
