package org.hornbeamspread.core.routing;

import java.time.Duration;
import org.hornbeamspread.core.misc.FailureType;

/** Where a read goes. */
public sealed interface ReadDecision {
    /**
     * Run it at a replica.
     *
     * @param databaseId the replica
     */
    record Replica(String databaseId) implements ReadDecision {}

    /**
     * Run it at the primary.
     *
     * @param databaseId the primary
     */
    record Primary(String databaseId) implements ReadDecision {}

    /**
     * Decide again when a replica has caught up, at the latest after a pause.
     *
     * @param databaseId the replica that is expected to catch up
     * @param atMost the longest pause
     */
    record WaitForReplica(String databaseId, Duration maxWait) implements ReadDecision {}

    /**
     * Nothing may serve it now.
     *
     * @param type why
     */
    record Refuse(FailureType type) implements ReadDecision {}
}
