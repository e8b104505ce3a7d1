package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.Optional;
import java.util.function.Consumer;
import org.hornbeamspread.core.failover.PrimaryProof;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.route.DatabaseInstance;

/**
 * Probes the primary of one service at intervals. A response proves that the instance leads, and contains its position, which
 * is shared with the proxies. Confined to the routes thread.
 */
final class PrimaryProbe {
    /** Interval of the probes of each primary. A probe costs a connection and some bytes, but no slot. */
    private static final long PROBE_INTERVAL_MS = 250;

    /** Refused probes in a row until the primary counts as refusing: one may hit a process that does not listen yet. */
    private static final int REQUIRED_CONSECUTIVE_REFUSALS = 2;

    private final String service;
    private final DatabaseAdministration databases;
    private final WatchingProxies watchingProxies;
    private final Clock clock;
    private final Consumer<Runnable> routesThread;

    /** The latest proof from this leader's own probes. */
    private Optional<PrimaryProof> latestProof = Optional.empty();

    private long latestProofAtMs = Long.MIN_VALUE / 4;

    /** The instance that gave the latest proof; empty before the first. */
    private String provenInstanceId = "";

    private long probeSentAtMs;

    /** The number of probes in a row for which the primary's address refused a connection. */
    private int consecutiveRefusals;

    PrimaryProbe(
            String service,
            DatabaseAdministration databases,
            WatchingProxies watchingProxies,
            Clock clock,
            Consumer<Runnable> routesThread) {
        this.service = service;
        this.databases = databases;
        this.watchingProxies = watchingProxies;
        this.clock = clock;
        this.routesThread = routesThread;
    }

    /** The latest proof, if it is of a given instance. */
    Optional<PrimaryProof> latestProof(String instanceId) {
        return latestProof.filter(proof -> instanceId.equals(provenInstanceId));
    }

    /** The instance that gave the latest proof; empty before the first. */
    String provenInstanceId() {
        return provenInstanceId;
    }

    /** Time since an instance last proved to this leader that it leads; a large number if it never did. */
    long proofAgeMs(String instanceId) {
        return instanceId.equals(provenInstanceId) ? clock.millis() - latestProofAtMs : Long.MAX_VALUE / 4;
    }

    /** Whether the primary's address refuses connections. */
    boolean isRefused() {
        return consecutiveRefusals >= REQUIRED_CONSECUTIVE_REFUSALS;
    }

    /** Sends a probe if one is due. */
    void probe(DatabaseInstance primary) {
        long nowMs = clock.millis();
        if (nowMs - probeSentAtMs < PROBE_INTERVAL_MS) {
            return;
        }
        probeSentAtMs = nowMs;
        long clockEpoch = watchingProxies.clockEpoch();
        databases
                .probePrimary(primary)
                .whenComplete((position, error) ->
                        routesThread.accept(() -> onResult(primary.instanceId(), position, error, nowMs, clockEpoch)));
    }

    private void onResult(
            String instanceId, Optional<LogPosition> position, Throwable error, long sentAtMs, long clockEpoch) {
        boolean refused = error != null && FailureException.of(error).type() == FailureType.CONNECTION_REFUSED;
        consecutiveRefusals = refused ? consecutiveRefusals + 1 : 0;
        if (error == null && position.isPresent()) {
            latestProofAtMs = provenInstanceId.equals(instanceId) ? Math.max(latestProofAtMs, sentAtMs) : sentAtMs;
            provenInstanceId = instanceId;
            latestProof = Optional.of(new PrimaryProof(position.get(), sentAtMs));
            watchingProxies.onProof(service, instanceId, position.get(), sentAtMs, clockEpoch);
        }
    }
}
