package org.hornbeamspread.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * Three of the five rules that keep acknowledged writes through promotions; rules 1 (a quorum of holders at the writer's
 * term) and 4 (the marker) are {@link org.hornbeamspread.core.acknowledgement.QuorumTracker}'s. Each method is one rule
 * or a part of it, so that a check can leave one out and show the loss; {@link SafePromotionRules} is the only one that
 * daemons use.
 */
public interface PromotionRules {
    /** Rule 2: how many databases a promotion must fence. */
    int fenceQuorum(int databases);

    /** Rule 3: a primary must not come before any of a quorum of fenced databases in this order. */
    Comparator<DatabaseStatus> promotionOrder();

    /** Rule 5: whether a database counts for a fence and as a holder. */
    boolean isTrusted(DatabaseStatus status, Optional<Registration> registration, GroupRecord record);

    /** Rule 5: whether an untrusted database may count again. */
    boolean mayReadmit(DatabaseStatus replica, DatabaseStatus primary, GroupRecord record);
}
