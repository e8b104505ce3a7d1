package org.hornbeamspread.core.failover;

import java.util.List;
import java.util.Set;
import org.hornbeamspread.core.route.LostCopy;

/** What {@link SyncGroupFailover} wants done. */
public sealed interface SyncFailoverEffect {
    /**
     * Commit the next fencing token to the log, without a chosen instance.
     *
     * @param expectedToken the present one
     * @param unsettledChoices chosen under earlier tokens, and perhaps ordered
     */
    record RaiseToken(long expectedToken, Set<String> unsettledChoices) implements SyncFailoverEffect {
        /** Copies the set. */
        public RaiseToken {
            unsettledChoices = Set.copyOf(unsettledChoices);
        }

        /** Where nothing was chosen before. */
        RaiseToken(long expectedToken) {
            this(expectedToken, Set.of());
        }
    }

    /** Ask an instance for its status. */
    record AskStatus(String instanceId) implements SyncFailoverEffect {}

    /** Stop a replica from receiving. */
    record Pause(String instanceId, long term) implements SyncFailoverEffect {}

    /** Make the old primary a replica. */
    record Demote(String instanceId, long term) implements SyncFailoverEffect {}

    /** Let a replica receive again. */
    record Resume(String instanceId) implements SyncFailoverEffect {}

    /** Commit the chosen instance under the token. */
    record Choose(long token, String instanceId) implements SyncFailoverEffect {}

    /** Have the platform promote the chosen instance. */
    record Promote(long token, String instanceId) implements SyncFailoverEffect {}

    /** Commit that the token's promotion is over. */
    record Conclude(long token, String instanceId) implements SyncFailoverEffect {}

    /** Commit that nothing acknowledged depends on these copies any more. */
    record Recover(List<LostCopy> copies) implements SyncFailoverEffect {
        /** Copies the list. */
        public Recover {
            copies = List.copyOf(copies);
        }
    }
}
