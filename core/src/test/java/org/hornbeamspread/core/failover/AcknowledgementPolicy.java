package org.hornbeamspread.core.failover;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.hornbeamspread.core.acknowledgement.HolderReport;
import org.hornbeamspread.core.acknowledgement.QuorumTracker;
import org.hornbeamspread.core.misc.LogPosition;

/** How a proxy of the search decides that a write may be acknowledged. */
interface AcknowledgementPolicy {
    /**
     * Whether a write may be acknowledged.
     *
     * @param commit the write's position in the primary's log
     * @param primary the primary, at the term of the proxy's view
     * @param trusted latest reports of the databases that control's record trusts, the primary among them
     */
    boolean isAllowed(LogPosition commit, HolderReport primary, Collection<HolderReport> trusted);

    /** What proxies do. */
    static AcknowledgementPolicy byQuorumTracker() {
        return byQuorumTracker(ModelState.DATABASES);
    }

    /** The same for a group that is believed to have so many databases. */
    static AcknowledgementPolicy byQuorumTracker(int databases) {
        return (commit, primary, trusted) -> {
            QuorumTracker tracker = new QuorumTracker();
            Set<String> members = new HashSet<>();
            trusted.forEach(report -> members.add(report.databaseId()));
            tracker.view(primary.term(), members, databases);
            trusted.forEach(tracker::report);
            return tracker.await(primary.term(), commit, primary.databaseId()).isDone();
        };
    }

    /** Without the marker: an entry of an earlier term counts as soon as two databases of this term hold it. */
    static AcknowledgementPolicy withoutMarker() {
        return (commit, primary, trusted) -> trusted.stream()
                        .filter(report -> report.term() == primary.term())
                        .filter(report -> report.followedTerm() == primary.term())
                        .filter(report -> report.synced().covers(commit))
                        .count()
                >= 2;
    }
}
