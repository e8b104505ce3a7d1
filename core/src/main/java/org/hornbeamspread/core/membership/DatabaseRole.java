package org.hornbeamspread.core.membership;

/** The role that a database reports for itself within its group. */
public enum DatabaseRole {
    /** Neither: the database is uninitialized, or is fenced and has not yet been assigned a primary to follow. */
    NONE,
    /** The database accepts writes at its term. */
    PRIMARY,
    /** The database replicates the log of a primary. */
    REPLICA
}
