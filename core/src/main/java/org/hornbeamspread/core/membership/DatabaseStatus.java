package org.hornbeamspread.core.membership;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * What a database reports of its log.
 *
 * @param databaseId its name
 * @param incarnation rises with each start of the process
 * @param term the highest term that it was fenced, promoted or told to follow at
 * @param role what it does at that term
 * @param followedTerm the last term whose log it accepted
 * @param synced its last synced log entry
 * @param marker as primary: the entry with which its term began
 * @param trusted false from the loss of its disk until it is readmitted
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
    /** Checks that the name is set. */
    public DatabaseStatus {
        if (databaseId.isEmpty()) {
            throw new FailureException(FailureType.INVALID_REQUEST, "a database without a name");
        }
    }

    /** Whether the database was never fenced, promoted or written to. */
    public boolean isUninitialized() {
        return term == 0 && synced.equals(LogPosition.NONE);
    }

    /** Whether it is the primary of this term. */
    public boolean isPrimaryAt(long expectedTerm) {
        return role == DatabaseRole.PRIMARY && term == expectedTerm;
    }

    /**
     * Whether this status may take the place of an earlier one. Within an incarnation a term never falls, and a primary
     * stays one for its term; a status that says otherwise comes from a message that was overtaken.
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
