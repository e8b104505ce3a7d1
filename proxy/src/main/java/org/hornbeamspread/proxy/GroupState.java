package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.acknowledgement.LogStatusReport;
import org.hornbeamspread.core.acknowledgement.QuorumTracker;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.routing.ReplicaStaleness;
import org.hornbeamspread.core.routing.ReplicationLag;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.transport.Envelopes;

/** What this proxy has seen of one group: who holds what, and how old the replicas are. Owned by one thread. */
final class GroupState {
    private static final int MAX_AGE_SAMPLES = 128;

    private final QuorumTracker quorum = new QuorumTracker();
    private final ReplicaStaleness age = new ReplicaStaleness(MAX_AGE_SAMPLES);
    private final Map<String, LogPosition> applied = new HashMap<>();
    private final Map<String, ReplicationLag> lags = new HashMap<>();
    private final List<AppliedWait> waits = new ArrayList<>();

    /** Takes the group's state from a view. */
    void view(GroupView group, int groupDatabases) {
        Set<String> trusted = new HashSet<>();
        for (DatabaseEntry database : group.getDatabasesList()) {
            if (database.getTrusted()) {
                trusted.add(database.getDatabaseId());
            }
        }
        quorum.updateView(group.getTerm(), trusted, groupDatabases);
    }

    /** Takes a database's report in. */
    void report(PositionReport report, Instant now) {
        LogPosition synced = Envelopes.position(report.getSynced());
        LogPosition appliedNow = Envelopes.position(report.getApplied());
        quorum.onReport(new LogStatusReport(
                report.getDatabaseId(),
                report.getIncarnation(),
                report.getTerm(),
                report.getFollowedTerm(),
                report.getTrusted(),
                synced));
        applied.put(report.getDatabaseId(), appliedNow);
        if (report.getRole() == DatabaseRole.PRIMARY) {
            lags.values().forEach(lag -> lag.recordPrimaryPosition(synced, now));
        } else {
            lags.computeIfAbsent(report.getDatabaseId(), id -> new ReplicationLag())
                    .recordReplicaPosition(appliedNow, now);
        }
        endWaits(report.getDatabaseId(), appliedNow);
    }

    /** Adds the primary's answer to a question that was asked under a fresh lease. */
    void sample(Instant askedAt, LogPosition primaryPosition) {
        age.addSample(askedAt, primaryPosition);
    }

    /** Completes when a database reports that it has applied a position. */
    CompletableFuture<Void> awaitApplied(String databaseId, LogPosition position) {
        if (applied(databaseId).covers(position)) {
            return CompletableFuture.completedFuture(null);
        }
        AppliedWait wait = new AppliedWait(databaseId, position, new CompletableFuture<>());
        waits.add(wait);
        return wait.done;
    }

    /** Forgets a wait that nobody needs any more. */
    void forgetApplied(CompletableFuture<Void> wait) {
        waits.removeIf(entry -> entry.done == wait);
    }

    QuorumTracker quorum() {
        return quorum;
    }

    ReplicaStaleness age() {
        return age;
    }

    LogPosition applied(String databaseId) {
        return applied.getOrDefault(databaseId, LogPosition.NONE);
    }

    /** The estimate of a replica's lag. */
    ReplicationLag lag(String databaseId) {
        return lags.computeIfAbsent(databaseId, id -> new ReplicationLag());
    }

    private void endWaits(String databaseId, LogPosition appliedNow) {
        List<AppliedWait> ended = new ArrayList<>();
        for (Iterator<AppliedWait> all = waits.iterator(); all.hasNext(); ) {
            AppliedWait wait = all.next();
            if (wait.databaseId.equals(databaseId) && appliedNow.covers(wait.position)) {
                all.remove();
                ended.add(wait);
            }
        }
        ended.forEach(wait -> wait.done.complete(null));
    }

    private record AppliedWait(String databaseId, LogPosition position, CompletableFuture<Void> done) {}
}
