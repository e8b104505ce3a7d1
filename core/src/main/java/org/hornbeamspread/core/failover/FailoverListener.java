package org.hornbeamspread.core.failover;

/** Told of each step of a promotion, for counters and logs. Times are those that this leader saw. */
public interface FailoverListener {
    /** Tells nobody. */
    FailoverListener NONE = new FailoverListener() {};

    /**
     * A higher term was asked for.
     *
     * @param silenceMs how long the old primary had been silent
     */
    default void onPromotionStarted(String group, long term, PromotionReason reason, long silenceMs) {}

    /** Enough databases are fenced, and one was chosen. */
    default void onPrimaryChosen(String group, long term, String databaseId, long sinceStartMs) {}

    /** The chosen database is primary. */
    default void onPrimaryPromoted(String group, long term, long sinceStartMs) {}

    /** No lease on an older view runs any longer, and the primary is promoted. */
    default void onOldLeasesExpired(String group, long term, long sinceStartMs) {}

    /** The term is open to writes. */
    default void onWritable(String group, long term, long sinceStartMs) {}
}
