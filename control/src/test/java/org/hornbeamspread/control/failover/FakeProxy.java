package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.HeldDatabase;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewLease;

/** A simulated proxy: the view that the proxy holds, and the lease under which the proxy may act on it. */
final class FakeProxy {
    final String id;
    final Map<String, GroupView> groups = new HashMap<>();
    private final Clock clock;
    private final String failureDomain;
    private long leaderTerm;
    private long viewVersion;
    private Instant leaseExpiresAt = Instant.EPOCH;

    /** Requests are lost. */
    boolean partitioned;

    /** Requests arrive, but responses are lost. */
    boolean responsesLost;

    boolean draining;

    FakeProxy(String id, String failureDomain, ManualClock clock) {
        this.id = id;
        this.failureDomain = failureDomain;
        this.clock = clock;
    }

    RenewView renewalRequest() {
        RenewView.Builder request = RenewView.newBuilder()
                .setProxy(ProxyEntry.newBuilder()
                        .setProxyId(id)
                        .setFailureDomain(failureDomain)
                        .setRegion("addis")
                        .setDraining(draining))
                .setLeaderTerm(leaderTerm)
                .setViewVersion(viewVersion);
        groups.values()
                .forEach(group -> group.getDatabasesList().stream()
                        .filter(database -> database.getHolderProxyId().equals(id))
                        .forEach(database -> request.addHeld(HeldDatabase.newBuilder()
                                .setDatabaseId(database.getDatabaseId())
                                .setHolderEpoch(database.getHolderEpoch()))));
        return request.build();
    }

    void receiveLease(ViewLease viewLease, Instant sentAt) {
        if (viewLease.getFull()) {
            groups.clear();
        }
        viewLease.getRemovedGroupsList().forEach(groups::remove);
        viewLease.getGroupsList().forEach(group -> groups.put(group.getGroup(), group));
        leaderTerm = viewLease.getLeaderTerm();
        viewVersion = viewLease.getViewVersion();
        leaseExpiresAt = sentAt.plusMillis(viewLease.getLeaseMs());
    }

    boolean hasValidLease() {
        return clock.instant().isBefore(leaseExpiresAt);
    }

    /** The term at which this proxy may currently send and acknowledge writes; empty when it may not. */
    Optional<Long> writableTerm(String group) {
        GroupView view = groups.getOrDefault(group, GroupView.getDefaultInstance());
        return hasValidLease() && view.getWritable() ? Optional.of(view.getTerm()) : Optional.empty();
    }

    /** Whether this proxy may currently use the database's connections. */
    boolean holds(String group, String databaseId) {
        GroupView view = groups.getOrDefault(group, GroupView.getDefaultInstance());
        return hasValidLease()
                && view.getDatabasesList().stream()
                        .filter(database -> database.getDatabaseId().equals(databaseId))
                        .map(DatabaseEntry::getHolderProxyId)
                        .anyMatch(id::equals);
    }
}
