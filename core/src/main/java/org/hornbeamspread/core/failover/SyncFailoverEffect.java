package org.hornbeamspread.core.failover;

import java.util.List;
import java.util.Set;
import org.hornbeamspread.core.route.LostCopy;

/** An action that {@link SyncGroupFailover} has decided on. */
public sealed interface SyncFailoverEffect {
    /**
     * Commit the next fencing token to the log, without a chosen instance.
     *
     * @param expectedToken the current token
     * @param unsettledChoices candidates chosen under earlier tokens, whose promotion may have been requested
     */
    record RaiseToken(long expectedToken, Set<String> unsettledChoices) implements SyncFailoverEffect {
        /** Copies the set. */
        public RaiseToken {
            unsettledChoices = Set.copyOf(unsettledChoices);
        }

        /** A token raise without unsettled choices. */
        RaiseToken(long expectedToken) {
            this(expectedToken, Set.of());
        }
    }

    /** Request the status of an instance. */
    record AskStatus(String instanceId) implements SyncFailoverEffect {}

    /** Stop a replica from receiving. */
    record Pause(String instanceId, long term) implements SyncFailoverEffect {}

    /** Make the old primary a replica. */
    record Demote(String instanceId, long term) implements SyncFailoverEffect {}

    /**
     * Commit that these resumes may be sent, unless another token was committed meanwhile.
     *
     * @param token the token of the latest promotion
     */
    record CommitResumes(long token, List<PendingResume> resumes) implements SyncFailoverEffect {
        /** Copies the list. */
        public CommitResumes {
            resumes = List.copyOf(resumes);
        }
    }

    /** Let a replica receive again. Follows a commit of the resume. */
    record Resume(String instanceId) implements SyncFailoverEffect {}

    /** Commit that these resumes have ended. */
    record EndResumes(List<PendingResume> resumes) implements SyncFailoverEffect {
        /** Copies the list. */
        public EndResumes {
            resumes = List.copyOf(resumes);
        }
    }

    /** Commit the chosen instance under the token. */
    record Choose(long token, String instanceId) implements SyncFailoverEffect {}

    /** Request the promotion of the chosen instance from the platform. */
    record Promote(long token, String instanceId) implements SyncFailoverEffect {}

    /**
     * Commit the end of the token's promotion.
     *
     * @param unsettledChoices candidates chosen under earlier tokens, whose accepted promotion may still take effect
     */
    record Conclude(long token, String instanceId, Set<String> unsettledChoices) implements SyncFailoverEffect {
        /** Copies the set. */
        public Conclude {
            unsettledChoices = Set.copyOf(unsettledChoices);
        }

        /** The end of a promotion without unsettled choices. */
        Conclude(long token, String instanceId) {
            this(token, instanceId, Set.of());
        }
    }

    /** Check whether the process of a lost copy has ended. */
    record CheckProcessEnd(LostCopy copy) implements SyncFailoverEffect {}

    /** Commit that no acknowledged commit depends on these copies any more. */
    record Recover(List<LostCopy> copies) implements SyncFailoverEffect {
        /** Copies the list. */
        public Recover {
            copies = List.copyOf(copies);
        }
    }
}
