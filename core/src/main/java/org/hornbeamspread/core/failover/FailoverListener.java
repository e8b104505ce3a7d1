package org.hornbeamspread.core.failover;

/**
 * Receives each step of a promotion, for metrics and logs. {@code elapsedMs} is the time since this leader first
 * processed the promotion's term.
 */
public interface FailoverListener {
    /** A listener that ignores all steps. */
    FailoverListener NONE = new FailoverListener() {};

    /**
     * A promotion started: a higher term was proposed to the control log.
     *
     * @param silenceMs how long the old primary had been silent; 0 when it was not suspected
     */
    default void onPromotionStarted(String group, long term, PromotionReason reason, long silenceMs) {}

    /** A fence quorum was reached, and a primary was chosen among the fenced databases. */
    default void onPrimaryChosen(String group, long term, String databaseId, long elapsedMs) {}

    /** The chosen database reported to be the primary. */
    default void onPrimaryPromoted(String group, long term, long elapsedMs) {}

    /** The primary is promoted, and every lease on an older view has expired. */
    default void onOldLeasesExpired(String group, long term, long elapsedMs) {}

    /** The term was committed as writable. */
    default void onWritable(String group, long term, long elapsedMs) {}
}
