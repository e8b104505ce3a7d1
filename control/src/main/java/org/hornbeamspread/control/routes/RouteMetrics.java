package org.hornbeamspread.control.routes;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.hornbeamspread.core.failover.SyncFailoverEffect;
import org.hornbeamspread.core.misc.FailureType;

/** Metrics of the route control. Safe for any thread. */
public final class RouteMetrics {
    private static final double[] OUTAGE_BUCKETS_SECONDS = {0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 8, 13};
    private static final double MILLIS_PER_SECOND = 1000;

    private final Counter steps;
    private final Counter withheldPromotions;
    private final Counter delayedPromotions;
    private final Counter refusals;
    private final Counter commits;
    private final Counter announcements;
    private final Histogram outages;
    private final Gauge proxies;

    /** Registers the metrics. */
    public RouteMetrics(PrometheusRegistry registry) {
        steps = Counter.builder()
                .name("hornbeamspread_route_promotion_steps_total")
                .help("Steps of promotions, by kind")
                .labelNames("step")
                .register(registry);
        withheldPromotions = Counter.builder()
                .name("hornbeamspread_route_promotions_withheld_total")
                .help("Promotions that waited since every replica that responded lacked an acknowledged commit")
                .register(registry);
        delayedPromotions = Counter.builder()
                .name("hornbeamspread_route_promotions_delayed_total")
                .help(
                        "Promotions that waited for a database to register, since proxies and control members were silent")
                .register(registry);
        refusals = Counter.builder()
                .name("hornbeamspread_route_refusals_total")
                .help("Calls refused, by failure type")
                .labelNames("type")
                .register(registry);
        commits = Counter.builder()
                .name("hornbeamspread_route_commits_total")
                .help("Changes committed, by kind")
                .labelNames("kind")
                .register(registry);
        announcements = Counter.builder()
                .name("hornbeamspread_route_announcement_decisions_total")
                .help(
                        "Announcements that were not applied as they came, and instances that were found to have ended, by outcome")
                .labelNames("outcome")
                .register(registry);
        outages = Histogram.builder()
                .name("hornbeamspread_route_outage_seconds")
                .help("Time without proof of a working primary, until the promotion of its successor was requested")
                .classicOnly()
                .classicUpperBounds(OUTAGE_BUCKETS_SECONDS)
                .register(registry);
        proxies = Gauge.builder()
                .name("hornbeamspread_route_watching_proxies")
                .help("Proxies that watch this leader")
                .register(registry);
    }

    void onPromotionStep(SyncFailoverEffect step) {
        steps.labelValues(step.getClass().getSimpleName()).inc();
    }

    void onPromotionRequested(long outageMs) {
        outages.observe(outageMs / MILLIS_PER_SECOND);
    }

    void onPromotionWithheld() {
        withheldPromotions.inc();
    }

    void onPromotionDelayed() {
        delayedPromotions.inc();
    }

    void onCommit(String kind) {
        commits.labelValues(kind).inc();
    }

    void onAnnouncement(String outcome) {
        announcements.labelValues(outcome).inc();
    }

    void onWatchingProxies(int count) {
        proxies.set(count);
    }

    /** Counts a refused call. */
    public void onRefused(FailureType type) {
        refusals.labelValues(type.name()).inc();
    }
}
