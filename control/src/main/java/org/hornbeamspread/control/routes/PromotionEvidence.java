package org.hornbeamspread.control.routes;

import java.time.Clock;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.failover.GroupSnapshot;
import org.hornbeamspread.core.failover.SilentParties;
import org.hornbeamspread.core.failover.SyncGroupFailover;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Logs the evidence on which the successor of a service's primary is chosen, and why none can be chosen yet. Takes no part in the decision.
 * Confined to the routes thread.
 */
final class PromotionEvidence {
    /** Minimum time between two events of a promotion that waits. */
    private static final long LOG_INTERVAL_MS = 1_000;

    private final String service;
    private final SyncGroupFailover failover;
    private final Clock clock;
    private final EventLog events;
    private final RouteMetrics metrics;
    private long recordedAtMs;
    private long withheldLoggedAtMs = Long.MIN_VALUE / 2;

    /** The token of the latest promotion that was withheld; 0 for none. */
    private long withheldToken;

    /** The token of the latest promotion that waited for a database to register; 0 for none. */
    private long delayedToken;

    PromotionEvidence(String service, SyncGroupFailover failover, Clock clock, EventLog events, RouteMetrics metrics) {
        this.service = service;
        this.failover = failover;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
    }

    /** Handles a step of the failover. */
    void onStep(GroupSnapshot snapshot, boolean promotionInProgress) {
        if (promotionInProgress && clock.millis() - recordedAtMs > LOG_INTERVAL_MS) {
            record(snapshot);
        }
        failover.withheldPosition(snapshot).ifPresent(latest -> onWithheld(snapshot, latest));
        if (delayedToken != snapshot.token() && failover.awaitsRegistration(snapshot)) {
            onDelayed(snapshot);
        }
    }

    /** Logs the evidence on which an instance is chosen, or that shows why none can be chosen yet. */
    void record(GroupSnapshot snapshot) {
        recordedAtMs = clock.millis();
        events.record(
                "promotion_evidence",
                "service",
                service,
                "token",
                snapshot.token(),
                "copies",
                failover.copyCount(snapshot),
                "lost_copies",
                snapshot.lostCopies(),
                "acknowledged",
                snapshot.commitReports().acknowledged(),
                "reports_pending",
                snapshot.commitReports().pending(),
                "silent_proxies",
                snapshot.commitReports().silent().proxies(),
                "silent_members",
                snapshot.commitReports().silent().controlMembers(),
                "answers",
                failover.describeStatuses(snapshot));
    }

    /** Counts and logs a promotion that waits, since nobody may have told of a database that is about to be registered. */
    private void onDelayed(GroupSnapshot snapshot) {
        delayedToken = snapshot.token();
        metrics.onPromotionDelayed();
        SilentParties silent = snapshot.commitReports().silent();
        events.record(
                "promotion_delayed",
                "service",
                service,
                "token",
                snapshot.token(),
                "silent_proxies",
                silent.proxies(),
                "silent_members",
                silent.controlMembers());
    }

    /** Counts and logs a promotion that waits for an instance with a commit that proxies have acknowledged. */
    private void onWithheld(GroupSnapshot snapshot, LogPosition bestPosition) {
        if (withheldToken != snapshot.token()) {
            withheldToken = snapshot.token();
            metrics.onPromotionWithheld();
        }
        if (clock.millis() - withheldLoggedAtMs <= LOG_INTERVAL_MS) {
            return;
        }
        withheldLoggedAtMs = clock.millis();
        AcknowledgedCommits acknowledged = snapshot.commitReports().acknowledged();
        events.record(
                "promotion_withheld",
                "service",
                service,
                "token",
                snapshot.token(),
                "best_position",
                bestPosition,
                "acknowledged_certain",
                acknowledged.certain(),
                "acknowledged_possible",
                acknowledged.possible());
    }
}
