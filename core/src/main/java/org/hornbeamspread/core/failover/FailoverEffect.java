package org.hornbeamspread.core.failover;

import java.util.List;

/** What a group's failover asks of its surroundings. Answers come back as database statuses or as a later log record. */
public sealed interface FailoverEffect {
    /**
     * Append to the control log.
     *
     * @param next the group's next record
     * @param expectedTerm it applies only while the log's record has this term
     */
    record AppendRecord(GroupRecord nextRecord, long expectedTerm) implements FailoverEffect {}

    /** Append members' registrations to the control log. */
    record AppendRegistrations(List<Registration> registrations) implements FailoverEffect {
        /** Keeps a copy. */
        public AppendRegistrations {
            registrations = List.copyOf(registrations);
        }
    }

    /** Raise a database's term, so that it takes nothing of lower terms. */
    record Fence(String databaseId, long term) implements FailoverEffect {}

    /** Make a fenced database the primary of its term. */
    record Promote(String databaseId, long term) implements FailoverEffect {}

    /** Make a database a replica of the primary. */
    record Follow(String databaseId, long incarnation, long term, String primaryId) implements FailoverEffect {}

    /** Tell a database that it counts again. */
    record Readmit(String databaseId, long incarnation, long term) implements FailoverEffect {}
}
