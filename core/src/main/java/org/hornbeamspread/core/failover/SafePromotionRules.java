package org.hornbeamspread.core.failover;

import java.util.Comparator;
import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * The rules with which no history of promotions, stale primaries and lost disks loses an acknowledged write.
 *
 * <p>Majorities meet: the databases that a promotion fences include a holder of every acknowledged write. The order by
 * the term of the last entry, then its index, finds that holder among them; an index alone would prefer a longer tail of
 * an older term that nobody acknowledged. The marker of a term makes its log the greatest in that order before
 * anything older is acknowledged under it. A database that lost its disk has forgotten both its entries and its fences,
 * so it joins no majority until its new incarnation holds all of the current primary's log at the current term.
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
            boolean wiped = status.isUninitialized() && record.term() > 0 && !status.trusted();
            return registration.get().trusted() && !wiped;
        }
        // A restart with its disk keeps the term and the trust; without its disk it reports either nothing or false.
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
