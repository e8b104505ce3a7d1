package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.DatabaseObservation;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Monitors every database of the view over one administrative connection each, and keeps the replication state of their
 * groups. Confined to the dispatcher's thread.
 */
final class ClusterMonitor {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private final Dispatcher dispatcher;
    private final PeerTransport transport;
    private final ViewPublisher publisher;
    private final ProxyMetrics metrics;
    private final String region;
    private final Map<String, DatabaseMonitor> monitors = new HashMap<>();
    private final Map<String, GroupReplicationState> groups = new HashMap<>();
    private Consumer<PositionReport> listener = report -> {};

    ClusterMonitor(
            Dispatcher dispatcher,
            PeerTransport transport,
            ViewPublisher publisher,
            ProxyMetrics metrics,
            String region) {
        this.metrics = metrics;
        this.region = region;
        this.dispatcher = dispatcher;
        this.transport = transport;
        this.publisher = publisher;
    }

    /** Sets a listener that is called with each report. */
    void setReportListener(Consumer<PositionReport> reportListener) {
        listener = reportListener;
    }

    /** Starts the periodic position requests to the primaries. */
    void start() {
        dispatcher.schedule(POLL_INTERVAL, this::pollPrimaries);
    }

    /** Applies a new view. */
    void updateView(ViewSnapshot view) {
        for (GroupView group : view.groups()) {
            GroupReplicationState state = groupState(group.getGroup());
            state.updateView(group, view.groupSize(group));
            for (DatabaseEntry entry : group.getDatabasesList()) {
                monitors.computeIfAbsent(entry.getDatabaseId(), id -> monitor(state, entry))
                        .updateEndpoint(entry);
            }
        }
        monitors.entrySet().removeIf(monitor -> {
            boolean removed = view.database(monitor.getKey()).isEmpty();
            if (removed) {
                monitor.getValue().close();
            }
            return removed;
        });
    }

    /** The replication state of a group; creates an empty one for a new group. */
    GroupReplicationState groupState(String name) {
        return groups.computeIfAbsent(name, id -> new GroupReplicationState());
    }

    Optional<DatabaseMonitor> monitor(String databaseId) {
        return Optional.ofNullable(monitors.get(databaseId));
    }

    /** The observations of each database that a lease renewal reports to control. */
    List<DatabaseObservation> observations(ViewSnapshot view) {
        List<DatabaseObservation> observations = new ArrayList<>();
        for (DatabaseEntry entry : view.databases()) {
            DatabaseMonitor monitor = monitors.get(entry.getDatabaseId());
            if (monitor != null) {
                observations.add(DatabaseObservation.newBuilder()
                        .setDatabaseId(entry.getDatabaseId())
                        .setIncarnation(entry.getIncarnation())
                        .setReachable(monitor.isConnected())
                        .setSilentMs((int) Math.min(
                                Integer.MAX_VALUE, monitor.timeSinceLastReport().toMillis()))
                        .build());
            }
        }
        return observations;
    }

    /**
     * Requests the position of the group's primary, sampled after this call. The response must come from the primary
     * of the view's term. Fails with NO_PRIMARY, VIEW_EXPIRED, DATABASE_UNREACHABLE or NOT_PRIMARY.
     */
    CompletableFuture<LogPosition> requestPrimaryPosition(String groupName) {
        Instant requestedAt = dispatcher.clock().instant();
        LeasedView leased = publisher.current();
        Optional<GroupView> group = leased.view().group(groupName);
        if (group.isEmpty() || group.get().getPrimaryId().isEmpty()) {
            return failed(FailureType.NO_PRIMARY, groupName);
        }
        if (!leased.isLeaseValidAt(requestedAt)) {
            return failed(FailureType.VIEW_EXPIRED, groupName);
        }
        DatabaseMonitor monitor = monitors.get(group.get().getPrimaryId());
        if (monitor == null) {
            return failed(FailureType.DATABASE_UNREACHABLE, group.get().getPrimaryId());
        }
        long term = group.get().getTerm();
        return monitor.requestPosition().thenApply(report -> addPrimarySample(groupName, term, requestedAt, report));
    }

    private DatabaseMonitor monitor(GroupReplicationState state, DatabaseEntry entry) {
        boolean otherRegion = !entry.getRegion().equals(region);
        return new DatabaseMonitor(
                dispatcher,
                transport,
                entry,
                report -> handleReport(state, report),
                bytes -> metrics.countReportBytes(otherRegion, bytes));
    }

    private void handleReport(GroupReplicationState state, PositionReport report) {
        state.onReport(report, dispatcher.clock().instant());
        listener.accept(report);
    }

    private LogPosition addPrimarySample(String groupName, long term, Instant requestedAt, PositionReport report) {
        if (report.getRole() != DatabaseRole.PRIMARY || report.getTerm() != term) {
            throw new FailureException(FailureType.NOT_PRIMARY, report.getDatabaseId());
        }
        LogPosition position = Envelopes.position(report.getSynced());
        groupState(groupName).addPrimarySample(requestedAt, position);
        return position;
    }

    private void pollPrimaries() {
        monitors.values().forEach(DatabaseMonitor::checkConnection);
        for (GroupView group : publisher.current().view().groups()) {
            requestPrimaryPosition(group.getGroup()).exceptionally(error -> LogPosition.NONE);
        }
        dispatcher.schedule(POLL_INTERVAL, this::pollPrimaries);
    }

    private static <T> CompletableFuture<T> failed(FailureType type, String detail) {
        return CompletableFuture.failedFuture(new FailureException(type, detail));
    }
}
