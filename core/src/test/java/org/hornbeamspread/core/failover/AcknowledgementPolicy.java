package org.hornbeamspread.core.failover;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.hornbeamspread.core.acknowledgement.LogStatusReport;
import org.hornbeamspread.core.acknowledgement.QuorumTracker;
import org.hornbeamspread.core.misc.LogPosition;

/** The policy by which a proxy of the model search decides that a write may be acknowledged. */
interface AcknowledgementPolicy {
    /**
     * Whether a write may be acknowledged.
     *
     * @param commit the write's position in the primary's log
     * @param primary the primary, at the term of the proxy's view
     * @param trusted latest reports of the databases that control's record marks as trusted, including the primary
     */
    boolean isAllowed(LogPosition commit, LogStatusReport primary, Collection<LogStatusReport> trusted);

    /** The policy that proxies use. */
    static AcknowledgementPolicy byQuorumTracker() {
        return byQuorumTracker(ModelState.DATABASES);
    }

    /** The same policy, for a group that is assumed to have this number of databases. */
    static AcknowledgementPolicy byQuorumTracker(int databases) {
        return (commit, primary, trusted) -> {
            QuorumTracker tracker = new QuorumTracker();
            Set<String> members = new HashSet<>();
            trusted.forEach(report -> members.add(report.databaseId()));
            tracker.updateView(primary.term(), members, databases);
            trusted.forEach(tracker::onReport);
            return tracker.awaitQuorum(primary.term(), commit, primary.databaseId())
                    .isDone();
        };
    }

    /** A policy without the term's marker: an entry of an earlier term counts as soon as two databases of this term hold it. */
    static AcknowledgementPolicy withoutMarker() {
        return (commit, primary, trusted) -> trusted.stream()
                        .filter(report -> report.term() == primary.term())
                        .filter(report -> report.followedTerm() == primary.term())
                        .filter(report -> report.synced().covers(commit))
                        .count()
                >= 2;
    }
}
