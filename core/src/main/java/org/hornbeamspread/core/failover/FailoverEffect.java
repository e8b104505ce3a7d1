package org.hornbeamspread.core.failover;

import java.util.List;

/**
 * An action that {@link GroupFailover} requests from its caller. The result is reported as a database status or as a
 * later record of the control log.
 */
public sealed interface FailoverEffect {
    /**
     * Appends the group's next record to the control log.
     *
     * @param nextRecord the group's next record
     * @param expectedTerm the append applies only while the record in the log has this term
     */
    record AppendRecord(GroupRecord nextRecord, long expectedTerm) implements FailoverEffect {}

    /** Appends registrations of members to the control log. */
    record AppendRegistrations(List<Registration> registrations) implements FailoverEffect {
        /** Copies the list. */
        public AppendRegistrations {
            registrations = List.copyOf(registrations);
        }
    }

    /** Raises a database's term, so that the database rejects commands and log entries of lower terms. */
    record Fence(String databaseId, long term) implements FailoverEffect {}

    /** Makes a fenced database the primary of its term. */
    record Promote(String databaseId, long term) implements FailoverEffect {}

    /** Makes a database a replica of the primary. */
    record Follow(String databaseId, long incarnation, long term, String primaryId) implements FailoverEffect {}

    /** Notifies a database that lost its disk that it is trusted again and counts in quorums. */
    record Readmit(String databaseId, long incarnation, long term) implements FailoverEffect {}
}
