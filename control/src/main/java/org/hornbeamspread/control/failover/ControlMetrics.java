package org.hornbeamspread.control.failover;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.hornbeamspread.core.failover.FailoverListener;
import org.hornbeamspread.core.failover.PromotionReason;
import org.hornbeamspread.core.misc.FailureType;

/** Metrics of the coordinator, and log messages for changes of a group's primary. Thread-safe. */
public final class ControlMetrics implements FailoverListener {
    private static final Logger LOG = System.getLogger(ControlMetrics.class.getName());
    private static final double[] STEP_BOUNDS_SECONDS = {0.01, 0.03, 0.1, 0.3, 0.6, 1, 1.5, 2, 3, 6, 12};
    private static final double MILLIS_PER_SECOND = 1000;

    private final Counter promotions;
    private final Counter failures;
    private final Counter commands;
    private final Counter leasesGranted;
    private final Counter entriesSetAside;
    private final Histogram stepSeconds;
    private final Gauge leading;
    private final Gauge livingProxies;
    private final Gauge viewVersion;

    /** Registers all metrics. */
    public ControlMetrics(PrometheusRegistry registry) {
        promotions = Counter.builder()
                .name("hornbeamspread_control_promotions_total")
                .help("Promotions started, by reason")
                .labelNames("type")
                .register(registry);
        failures = Counter.builder()
                .name("hornbeamspread_control_refusals_total")
                .help("Requests refused and commands that failed, by failure type")
                .labelNames("type")
                .register(registry);
        commands = Counter.builder()
                .name("hornbeamspread_control_database_commands_total")
                .help("Commands sent to databases, by kind")
                .labelNames("type")
                .register(registry);
        leasesGranted = Counter.builder()
                .name("hornbeamspread_control_leases_granted_total")
                .help("View leases granted, by whether the response contained the full view or a delta")
                .labelNames("type")
                .register(registry);
        entriesSetAside = Counter.builder()
                .name("hornbeamspread_control_entries_set_aside_total")
                .help("Unacknowledged log entries that databases set aside when they started to follow a primary")
                .register(registry);
        stepSeconds = Histogram.builder()
                .name("hornbeamspread_control_failover_seconds")
                .help("Time from the start of a promotion to the end of each step; detect: silence before the start")
                .labelNames("step")
                .classicOnly()
                .classicUpperBounds(STEP_BOUNDS_SECONDS)
                .register(registry);
        leading = gauge(
                registry,
                "hornbeamspread_control_leading",
                "1 while this member is the leader of the control log, else 0");
        livingProxies =
                gauge(registry, "hornbeamspread_control_living_proxies", "Proxies with an unexpired view lease");
        viewVersion = gauge(registry, "hornbeamspread_control_view_version", "Version of the published view");
    }

    /** Counts a refused request or a failed command. */
    public void countFailure(FailureType type) {
        failures.labelValues(type.name()).inc();
    }

    @Override
    public void onPromotionStarted(String group, long term, PromotionReason reason, long silenceMs) {
        promotions.labelValues(reason.name()).inc();
        stepSeconds.labelValues("detect").observe(silenceMs / MILLIS_PER_SECOND);
        LOG.log(
                Level.INFO,
                "group {0}: promotion to term {1} started, reason {2}, silence {3} ms",
                group,
                term,
                reason,
                silenceMs);
    }

    @Override
    public void onPrimaryChosen(String group, long term, String databaseId, long elapsedMs) {
        observeStep("fence", elapsedMs);
        LOG.log(
                Level.INFO,
                "group {0}: database {1} chosen as primary of term {2} after {3} ms",
                group,
                databaseId,
                term,
                elapsedMs);
    }

    @Override
    public void onPrimaryPromoted(String group, long term, long elapsedMs) {
        observeStep("promote", elapsedMs);
        LOG.log(Level.INFO, "group {0}: primary promoted at term {1} after {2} ms", group, term, elapsedMs);
    }

    @Override
    public void onOldLeasesExpired(String group, long term, long elapsedMs) {
        observeStep("lease wait", elapsedMs);
    }

    @Override
    public void onWritable(String group, long term, long elapsedMs) {
        observeStep("open", elapsedMs);
        LOG.log(Level.INFO, "group {0}: writable at term {1} after {2} ms", group, term, elapsedMs);
    }

    void countCommand(String kind) {
        commands.labelValues(kind).inc();
    }

    void countLease(boolean full) {
        leasesGranted.labelValues(full ? "full" : "delta").inc();
    }

    void countEntriesSetAside(int entries) {
        entriesSetAside.inc(entries);
    }

    void setLeaderState(boolean isLeading, int proxies, long version) {
        leading.set(isLeading ? 1 : 0);
        livingProxies.set(proxies);
        viewVersion.set((double) version);
    }

    private void observeStep(String name, long elapsedMs) {
        stepSeconds.labelValues(name).observe(elapsedMs / MILLIS_PER_SECOND);
    }

    private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }
}
