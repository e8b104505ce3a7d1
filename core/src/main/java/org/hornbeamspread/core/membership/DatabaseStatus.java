package org.hornbeamspread.core.membership;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * The term, role and log positions that a database reports.
 *
 * @param databaseId the database's name
 * @param incarnation rises with each start of the process
 * @param term the highest term at which the database was fenced, promoted or ordered to follow a primary
 * @param role the database's role at that term
 * @param followedTerm the latest term whose log the database accepted
 * @param synced the last log entry that the database has synced to disk
 * @param marker on a primary, the log entry with which its term began; otherwise absent
 * @param trusted false from the loss of the database's disk until the database is readmitted
 */
public record DatabaseStatus(
        String databaseId,
        long incarnation,
        long term,
        DatabaseRole role,
        long followedTerm,
        LogPosition synced,
        Optional<LogPosition> marker,
        boolean trusted) {
    /** Validates that the name is not empty. */
    public DatabaseStatus {
        if (databaseId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "database name is empty");
        }
    }

    /** Whether the database was never fenced, promoted or written to. */
    public boolean isUninitialized() {
        return term == 0 && synced.equals(LogPosition.NONE);
    }

    /** Whether the database reports to be the primary of a term. */
    public boolean isPrimaryAt(long expectedTerm) {
        return role == DatabaseRole.PRIMARY && term == expectedTerm;
    }

    /**
     * Whether this status may replace an earlier one. Within an incarnation the term never decreases, and a primary
     * remains primary for its term. A status that contradicts this was delivered out of order.
     */
    public boolean supersedes(DatabaseStatus earlier) {
        if (incarnation != earlier.incarnation) {
            return incarnation > earlier.incarnation;
        }
        if (term != earlier.term) {
            return term > earlier.term;
        }
        return role == DatabaseRole.PRIMARY || earlier.role != DatabaseRole.PRIMARY;
    }
}
