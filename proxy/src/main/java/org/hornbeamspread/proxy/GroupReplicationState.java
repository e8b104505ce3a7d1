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

/**
 * The replication state of one group as observed by this proxy: the log positions of the databases, the quorum
 * position, and the staleness of the replicas. Confined to the dispatcher's thread.
 */
final class GroupReplicationState {
    private static final int MAX_STALENESS_SAMPLES = 128;

    private final QuorumTracker quorum = new QuorumTracker();
    private final ReplicaStaleness staleness = new ReplicaStaleness(MAX_STALENESS_SAMPLES);
    private final Map<String, LogPosition> appliedPositions = new HashMap<>();
    private final Map<String, ReplicationLag> lags = new HashMap<>();
    private final List<AppliedWait> appliedWaits = new ArrayList<>();

    /** Applies the group's term and trusted databases from a view. */
    void updateView(GroupView group, int groupDatabases) {
        Set<String> trusted = new HashSet<>();
        for (DatabaseEntry database : group.getDatabasesList()) {
            if (database.getTrusted()) {
                trusted.add(database.getDatabaseId());
            }
        }
        quorum.updateView(group.getTerm(), trusted, groupDatabases);
    }

    /** Applies a position report of a database. */
    void onReport(PositionReport report, Instant now) {
        LogPosition synced = Envelopes.position(report.getSynced());
        LogPosition appliedNow = Envelopes.position(report.getApplied());
        quorum.onReport(new LogStatusReport(
                report.getDatabaseId(),
                report.getIncarnation(),
                report.getTerm(),
                report.getFollowedTerm(),
                report.getTrusted(),
                synced));
        appliedPositions.put(report.getDatabaseId(), appliedNow);
        if (report.getRole() == DatabaseRole.PRIMARY) {
            lags.values().forEach(lag -> lag.recordPrimaryPosition(synced, now));
        } else {
            lags.computeIfAbsent(report.getDatabaseId(), id -> new ReplicationLag())
                    .recordReplicaPosition(appliedNow, now);
        }
        completeAppliedWaits(report.getDatabaseId(), appliedNow);
    }

    /** Adds a position of the primary that was requested under a valid lease. */
    void addPrimarySample(Instant requestedAt, LogPosition primaryPosition) {
        staleness.addSample(requestedAt, primaryPosition);
    }

    /** Completes when a database has reported that it applied a position. */
    CompletableFuture<Void> awaitApplied(String databaseId, LogPosition position) {
        if (appliedPosition(databaseId).covers(position)) {
            return CompletableFuture.completedFuture(null);
        }
        AppliedWait wait = new AppliedWait(databaseId, position, new CompletableFuture<>());
        appliedWaits.add(wait);
        return wait.completion;
    }

    /** Removes a wait created by {@link #awaitApplied}, without completing the future. */
    void cancelAwaitApplied(CompletableFuture<Void> wait) {
        appliedWaits.removeIf(entry -> entry.completion == wait);
    }

    QuorumTracker quorum() {
        return quorum;
    }

    ReplicaStaleness staleness() {
        return staleness;
    }

    LogPosition appliedPosition(String databaseId) {
        return appliedPositions.getOrDefault(databaseId, LogPosition.NONE);
    }

    /** The estimated replication lag of a database. */
    ReplicationLag lag(String databaseId) {
        return lags.computeIfAbsent(databaseId, id -> new ReplicationLag());
    }

    private void completeAppliedWaits(String databaseId, LogPosition appliedNow) {
        List<AppliedWait> reached = new ArrayList<>();
        for (Iterator<AppliedWait> all = appliedWaits.iterator(); all.hasNext(); ) {
            AppliedWait wait = all.next();
            if (wait.databaseId.equals(databaseId) && appliedNow.covers(wait.position)) {
                all.remove();
                reached.add(wait);
            }
        }
        reached.forEach(wait -> wait.completion.complete(null));
    }

    private record AppliedWait(String databaseId, LogPosition position, CompletableFuture<Void> completion) {}
}
