package org.hornbeamspread.control.consensus;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.core.misc.FailureType;

/** Metrics of the replicated log. */
final class ConsensusMetrics {
    private static final double MS_PER_SECOND = 1_000;

    private final Counter refusals;
    private final Counter leadershipChanges;
    private final Counter appliedRecords;
    private final Counter syncs;
    private final Counter snapshots;
    private final Gauge term;
    private final Gauge leaderlessSeconds;
    private final Gauge peerSilentSeconds;
    private final Counter connectionsOpened;
    private final Counter connectionsClosed;
    private final Counter unanswered;

    ConsensusMetrics(PrometheusRegistry registry) {
        refusals = Counter.builder()
                .name("hornbeamspread_log_refusals")
                .help("Proposals and reads that failed, by type")
                .labelNames("type")
                .register(registry);
        leadershipChanges = Counter.builder()
                .name("hornbeamspread_log_leadership_changes")
                .help("Changes of leader or term observed")
                .register(registry);
        appliedRecords = Counter.builder()
                .name("hornbeamspread_log_applied_records")
                .help("Records applied")
                .register(registry);
        syncs = Counter.builder()
                .name("hornbeamspread_log_syncs")
                .help("Batches synced to disk")
                .register(registry);
        snapshots = Counter.builder()
                .name("hornbeamspread_log_snapshots")
                .help("Snapshots taken or installed")
                .register(registry);
        term = Gauge.builder()
                .name("hornbeamspread_log_term")
                .help("Current term")
                .register(registry);
        leaderlessSeconds = Gauge.builder()
                .name("hornbeamspread_log_leaderless_seconds")
                .help("Time without a leader; 0 while one is known")
                .register(registry);
        peerSilentSeconds = Gauge.builder()
                .name("hornbeamspread_log_peer_silent_seconds")
                .help("Time since a member's last answer")
                .labelNames("peer")
                .register(registry);
        connectionsOpened = Counter.builder()
                .name("hornbeamspread_log_peer_connections_opened")
                .help("Connections opened to a member")
                .labelNames("peer")
                .register(registry);
        connectionsClosed = Counter.builder()
                .name("hornbeamspread_log_peer_connections_closed")
                .help("Connections to a member that ended or could not be opened, by cause")
                .labelNames("peer", "cause")
                .register(registry);
        unanswered = Counter.builder()
                .name("hornbeamspread_log_peer_requests_unanswered")
                .help("Requests to a member without an answer, by cause")
                .labelNames("peer", "cause")
                .register(registry);
    }

    void onRefusal(FailureType type) {
        refusals.labelValues(type.name()).inc();
    }

    void onLeadershipChange(long newTerm) {
        leadershipChanges.inc();
        term.set((double) newTerm);
    }

    void onApplied(int records) {
        appliedRecords.inc(records);
    }

    void onSync() {
        syncs.inc();
    }

    void onSnapshot() {
        snapshots.inc();
    }

    void onLeaderless(long leaderlessMs) {
        leaderlessSeconds.set(leaderlessMs / MS_PER_SECOND);
    }

    void onSilence(String memberId, long silentMs) {
        peerSilentSeconds.labelValues(memberId).set(silentMs / MS_PER_SECOND);
    }

    void onConnectionOpened(String memberId) {
        connectionsOpened.labelValues(memberId).inc();
    }

    void onConnectionClosed(String memberId, String cause) {
        connectionsClosed.labelValues(memberId, cause).inc();
    }

    void onUnanswered(String memberId, FailureType cause) {
        unanswered.labelValues(memberId, cause.name()).inc();
    }
}
