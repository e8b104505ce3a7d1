package org.hornbeamspread.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * The five rules that keep acknowledged writes through promotions. Each method is one rule or a part of it, so that a
 * check can leave one out and show the loss; {@link SafePromotionRules} is the only one that daemons use.
 */
public interface PromotionRules {
    /** Rule 1: how many databases must hold a write at its writer's own term before it is acknowledged. */
    int acknowledgementQuorum(int databases);

    /** Rule 2: how many databases a promotion must fence. */
    int fenceQuorum(int databases);

    /** Rule 3: a primary must not come before any of a quorum of fenced databases in this order. */
    Comparator<DatabaseStatus> promotionOrder();

    /** Rule 4: whether entries are acknowledged only once the term's marker has a quorum of holders. */
    boolean requiresMarker();

    /** Rule 5: whether a database counts for a fence and as a holder. */
    boolean isTrusted(DatabaseStatus status, Optional<Registration> registration, GroupRecord record);

    /** Rule 5: whether an untrusted database may count again. */
    boolean mayReadmit(DatabaseStatus replica, DatabaseStatus primary, GroupRecord record);

    /**
     * Whether a write of the primary's may be acknowledged: rules 1, 4 and 5 together.
     *
     * @param commit the write's position in the primary's log
     * @param primary the primary that wrote it, at the term that the sender believes in
     * @param trustedReplicas latest reports of the group's other trusted databases
     * @param databases the declared size of the group
     */
    default boolean isAcknowledged(
            LogPosition commit, DatabaseStatus primary, Collection<DatabaseStatus> trustedReplicas, int databases) {
        if (primary.marker().isEmpty()) {
            return false;
        }
        LogPosition needed =
                requiresMarker() ? LogPosition.max(commit, primary.marker().get()) : commit;
        long holders = 1
                + trustedReplicas.stream()
                        .filter(replica -> replica.term() == primary.term())
                        .filter(replica -> replica.followedTerm() == primary.term())
                        .filter(replica -> replica.synced().covers(needed))
                        .count();
        return holders >= acknowledgementQuorum(databases);
    }
}
