package org.hornbeamspread.control.consensus;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.core.misc.FailureType;

/** Metrics of the replicated log. */
final class ConsensusMetrics {
    private final Counter refusals;
    private final Counter leadershipChanges;
    private final Counter appliedRecords;
    private final Counter syncs;
    private final Counter snapshots;
    private final Gauge term;

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
}
