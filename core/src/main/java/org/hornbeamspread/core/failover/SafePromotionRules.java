package org.hornbeamspread.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * The rules under which no sequence of promotions, stale primaries and lost disks loses an acknowledged write.
 *
 * <p>Any two majorities intersect, so the databases that a promotion fences include a holder of every acknowledged
 * write. The order by the term of the last entry, then by its index, selects such a holder; an order by index alone
 * would prefer a longer, unacknowledged tail of an older term. The marker that starts a term makes the log of that term
 * the greatest in this order before any older entry is acknowledged under the term. A database that lost its disk has
 * lost both its log entries and its fences, so the database counts in no majority until its new incarnation holds the
 * complete log of the current primary at the current term.
 */
public final class SafePromotionRules implements PromotionRules {
    private static final Comparator<DatabaseStatus> ORDER = Comparator.comparing(DatabaseStatus::synced);

    @Override
    public int fenceQuorum(int databases) {
        return databases / 2 + 1;
    }

    @Override
    public Comparator<DatabaseStatus> promotionOrder() {
        return ORDER;
    }

    @Override
    public boolean isTrusted(DatabaseStatus status, Optional<Registration> registration, GroupRecord record) {
        if (registration.isEmpty()) {
            return false;
        }
        if (registration.get().incarnation() == status.incarnation()) {
            boolean diskLost = status.isUninitialized() && record.term() > 0 && !status.trusted();
            return registration.get().trusted() && !diskLost;
        }
        // A database that restarts with its disk keeps its term and its trust. After a restart without the disk the
        // database reports term 0 or is not trusted.
        return registration.get().trusted() && status.trusted() && status.term() > 0;
    }

    @Override
    public boolean mayReadmit(DatabaseStatus replica, DatabaseStatus primary, GroupRecord record) {
        return record.writable()
                && primary.isPrimaryAt(record.term())
                && record.primaryId().filter(primary.databaseId()::equals).isPresent()
                && replica.term() == record.term()
                && replica.followedTerm() == record.term()
                && primary.marker().filter(replica.synced()::covers).isPresent()
                && replica.synced().covers(primary.synced());
    }
}
