package org.hornbeamspread.proxy;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import org.hornbeamspread.core.misc.FailureType;

/** The proxy's metrics. Safe for any thread. */
final class ProxyMetrics {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter refusals;
    private final Counter retries;
    private final Counter responses;
    private final Counter reads;
    private final Counter peerBytes;
    private final Gauge requestsInProgress;
    private final Gauge databaseStatements;
    private final Gauge databaseConnections;
    private final Histogram latency;

    ProxyMetrics(PrometheusRegistry registry) {
        refusals = counter(
                registry, "hornbeamspread_refusals_total", "Failed responses by failure type and rank", "type", "rank");
        retries = counter(
                registry, "hornbeamspread_retries_total", "Retries by failure type of the previous attempt", "type");
        responses = counter(
                registry,
                "hornbeamspread_requests_total",
                "Responses by kind, rank and effect",
                "kind",
                "rank",
                "effect");
        reads = counter(registry, "hornbeamspread_reads_total", "Reads served, by source", "source");
        peerBytes = counter(
                registry,
                "hornbeamspread_peer_bytes_total",
                "Bytes of messages sent and received, by purpose",
                "purpose",
                "other_region");
        requestsInProgress = Gauge.builder()
                .name("hornbeamspread_requests_in_progress")
                .help("Requests in progress")
                .register(registry);
        databaseStatements = Gauge.builder()
                .name("hornbeamspread_database_statements")
                .help("Statements queued or running at a held database")
                .labelNames("database")
                .register(registry);
        databaseConnections = Gauge.builder()
                .name("hornbeamspread_database_connections")
                .help("Open connections to a held database")
                .labelNames("database")
                .register(registry);
        latency = Histogram.builder()
                .name("hornbeamspread_request_seconds")
                .help("Response time in seconds, by rank")
                .labelNames("rank")
                .classicOnly()
                .classicUpperBounds(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10)
                .register(registry);
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    void countRefusal(FailureType type, String rank) {
        refusals.labelValues(type.name(), rank).inc();
    }

    void countRetry(FailureType type) {
        retries.labelValues(type.name()).inc();
    }

    void countResponse(String kind, String rank, String effect, Duration elapsed) {
        responses.labelValues(kind, rank, effect).inc();
        latency.labelValues(rank).observe(elapsed.toNanos() / NANOS_PER_SECOND);
    }

    void countRead(boolean fromReplica) {
        reads.labelValues(fromReplica ? "replica" : "primary").inc();
    }

    /** Counts the bytes of a relayed statement or of its response. */
    void countStatementBytes(boolean otherRegion, int bytes) {
        peerBytes.labelValues("statements", Boolean.toString(otherRegion)).inc(bytes);
    }

    /** Counts the bytes of a position report or of a request for one. */
    void countReportBytes(boolean otherRegion, int bytes) {
        peerBytes.labelValues("reports", Boolean.toString(otherRegion)).inc(bytes);
    }

    void setRequestsInProgress(int count) {
        requestsInProgress.set(count);
    }

    void setDatabaseUsage(String databaseId, int statements, int openConnections) {
        databaseStatements.labelValues(databaseId).set(statements);
        databaseConnections.labelValues(databaseId).set(openConnections);
    }
}
