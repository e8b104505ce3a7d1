package org.hornbeamspread.proxy.session;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.core.route.Route;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlResult;

/** Counters of statements by rank and outcome, and their durations by rank. */
final class SessionMetrics {
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5};
    private static final double MILLIS_PER_SECOND = 1000;

    /** One of this many successful statements is logged. */
    private static final long SAMPLING_INTERVAL = 64;

    private final Counter responses;
    private final Counter refusals;
    private final Counter retries;
    private final Counter sealedResults;
    private final Histogram durations;
    private long served;

    SessionMetrics(PrometheusRegistry registry) {
        responses = Counter.builder()
                .name("hornbeamspread_session_statements_total")
                .help("Statements answered, by rank and outcome")
                .labelNames("rank", "outcome")
                .register(registry);
        refusals = Counter.builder()
                .name("hornbeamspread_session_refusals_total")
                .help("Statements and sessions refused without running, by reason")
                .labelNames("reason")
                .register(registry);
        retries = Counter.builder()
                .name("hornbeamspread_session_retries_total")
                .help("Statements retried, by reason")
                .labelNames("reason")
                .register(registry);
        sealedResults = Counter.builder()
                .name("hornbeamspread_session_sealed_results_total")
                .help("Commits that were not acknowledged since their primary may be about to be replaced, by outcome")
                .labelNames("outcome")
                .register(registry);
        durations = Histogram.builder()
                .name("hornbeamspread_session_statement_seconds")
                .help("Time from the arrival of a statement to its response, by rank")
                .labelNames("rank")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    void onResponse(Route route, SqlResult result, long elapsedMs) {
        String rank = PriorityRanks.rankName(route.priority());
        responses
                .labelValues(rank, result.error().map(Enum::name).orElse("DONE"))
                .inc();
        durations.labelValues(rank).observe(elapsedMs / MILLIS_PER_SECOND);
    }

    void onRefused(RefusalReason reason) {
        refusals.labelValues(reason.name()).inc();
    }

    /** Counts a commit that a seal turned into an error: IN_DOUBT, or ABORTED if it was not sent. */
    void onSealed(SqlError error) {
        sealedResults.labelValues(error.name()).inc();
    }

    void onRetry(RetryReason reason) {
        retries.labelValues(reason.name()).inc();
    }

    /** Whether the next successful statement is to be logged; advances the sampling counter. */
    boolean sampleNext() {
        return served++ % SAMPLING_INTERVAL == 0;
    }
}
