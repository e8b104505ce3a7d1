package org.hornbeamspread.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Three of the five rules that preserve acknowledged writes through promotions. {@link
 * org.hornbeamspread.core.acknowledgement.QuorumTracker} implements the other two: rule 1 (a quorum holds the write at
 * the writer's term) and rule 4 (the marker that starts each term). Each method is one rule or a part of one, so that a
 * model check can omit a single rule and find the resulting loss. Production code uses only {@link SafePromotionRules}.
 */
public interface PromotionRules {
    /** Rule 2: the number of databases that a promotion must fence. */
    int fenceQuorum(int databases);

    /** Rule 3: in this order a new primary must not come before any database of a quorum of fenced databases. */
    Comparator<DatabaseStatus> promotionOrder();

    /** Rule 5: whether a database counts towards a fence quorum and as a holder of writes. */
    boolean isTrusted(DatabaseStatus status, Optional<Registration> registration, GroupRecord record);

    /** Rule 5: whether an untrusted database may be trusted again. */
    boolean mayReadmit(DatabaseStatus replica, DatabaseStatus primary, GroupRecord record);
}
