package org.hornbeamspread.core.routing;

import java.time.Duration;
import org.hornbeamspread.core.misc.FailureType;

/** Which database serves a read. */
public sealed interface ReadDecision {
    /**
     * Run the read at a replica.
     *
     * @param databaseId the replica
     */
    record Replica(String databaseId) implements ReadDecision {}

    /**
     * Run the read at the primary.
     *
     * @param databaseId the primary
     */
    record Primary(String databaseId) implements ReadDecision {}

    /**
     * Decide again when a replica has caught up, at the latest after a maximum wait.
     *
     * @param databaseId the replica that is expected to catch up
     * @param maxWait the longest wait
     */
    record WaitForReplica(String databaseId, Duration maxWait) implements ReadDecision {}

    /**
     * Refuse the read, because no database may serve it now.
     *
     * @param type the reason for the refusal
     */
    record Refuse(FailureType type) implements ReadDecision {}
}
