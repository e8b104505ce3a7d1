package org.hornbeamspread.core.membership;

/** What a database says it does in its group. */
public enum DatabaseRole {
    /** Neither: it is fresh, or fenced and not yet told whom to follow. */
    NONE,
    /** It takes writes at its term. */
    PRIMARY,
    /** It follows a primary. */
    REPLICA
}
