package org.hornbeamspread.core.quota;

import java.time.Clock;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.Workspace;

/**
 * The limits of all workspaces, kept by the leader of control.
 *
 * <p>Guards against a workspace that exceeds its limit through many proxies at once, also while proxies and control don't reach each other.
 * A fixed share for each proxy refuses callers below their limit, since clients are spread unevenly; a shared counter costs a message for
 * each operation, and stops all service when its leader is lost. So the leader lends each proxy a rate in proportion to the operations that
 * arrive there. It holds for some seconds without contact, and all of them together stay below the limit. What is left of the limit
 * fills one {@link WorkspaceLedger bucket}, from which proxies take tokens for operations beyond their rates.
 *
 * <p>A new leader doesn't know what its predecessor lent. Until that has lapsed, it fills its buckets only at the part of the limit
 * that is never lent, and renews the rates that proxies hold without raising them. Confined to one thread.
 */
public final class QuotaLedger {
    /** How long a lent rate may be used: longer than the election of a leader, shorter than the window of a limit. */
    static final long LENT_VALIDITY_MS = 2_500;

    /** How long a leader that has been replaced may go on granting, at most. */
    public static final long MAX_UNCONFIRMED_MS = 400;

    private final QuotaBounds bounds;
    private final Clock clock;
    private final Map<String, WorkspaceLedger> ledgers = new HashMap<>();

    /** Ledgers of workspaces whose limit was removed lately: what they granted and lent may still be in use when a limit returns. */
    private final Map<String, RemovedLedger> removedLedgers = new HashMap<>();

    private long lentUnknownUntilMs;

    private record RemovedLedger(WorkspaceLedger ledger, long removedAtMs) {}

    /** Creates a ledger without workspaces. */
    public QuotaLedger(QuotaBounds bounds, Clock clock) {
        this.bounds = bounds;
        this.clock = clock;
        onLeadershipGained();
    }

    /** Begins anew: whatever an earlier leader lent is still in use. */
    public void onLeadershipGained() {
        lentUnknownUntilMs = clock.millis() + LENT_VALIDITY_MS + MAX_UNCONFIRMED_MS;
        ledgers.clear();
        removedLedgers.clear();
    }

    /** Applies the limits of a configuration. */
    public void configure(List<Workspace> workspaces) {
        Map<String, QuotaPlan> plans = new HashMap<>();
        workspaces.forEach(workspace ->
                workspace.limit().ifPresent(limit -> plans.put(workspace.name(), QuotaPlan.of(limit, bounds))));
        long nowMs = clock.millis();
        long retentionMs = Math.max(bounds.windowMs(), LENT_VALIDITY_MS);
        removedLedgers.values().removeIf(removed -> nowMs - removed.removedAtMs() > retentionMs);
        ledgers.forEach((name, ledger) -> {
            if (!plans.containsKey(name)) {
                removedLedgers.put(name, new RemovedLedger(ledger, nowMs));
            }
        });
        ledgers.keySet().retainAll(plans.keySet());
        plans.forEach((name, plan) -> ledgers.computeIfAbsent(name, key -> restoreOrCreate(key, plan, nowMs))
                .setPlan(plan, nowMs));
    }

    private WorkspaceLedger restoreOrCreate(String name, QuotaPlan plan, long nowMs) {
        RemovedLedger removed = removedLedgers.remove(name);
        return removed == null ? new WorkspaceLedger(plan, nowMs, lentUnknownUntilMs) : removed.ledger();
    }

    /** Serves a proxy's demand; empty for a workspace without a limit. */
    public Optional<QuotaShare> serve(String proxyId, QuotaDemand demand) {
        return Optional.ofNullable(ledgers.get(demand.workspace()))
                .map(ledger -> ledger.serve(proxyId, demand, clock.millis()));
    }
}
