package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hornbeamspread.core.misc.ClockJumpDetector;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.quota.QuotaDemand;
import org.hornbeamspread.core.quota.QuotaPlan;
import org.hornbeamspread.core.quota.QuotaShare;
import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.Workspace;

/**
 * Admits operations within the limits of their workspaces. An operation that the proxy's allowance does not cover waits for control's
 * answer, for a limited time. All demands travel in one request, and one request is in flight at a time. Confined to the engine's thread.
 */
final class QuotaGate {
    private static final long CHECK_INTERVAL_MS = 25;

    /** Reports keep lent rates in force, which lapse after some seconds. */
    private static final long REPORT_INTERVAL_MS = 500;

    private static final long FAILED_REQUEST_BACKOFF_MS = 100;

    /** A time for operations that were not counted. */
    static final long NOT_REFUNDABLE = Long.MIN_VALUE / 2;

    private final QuotaBounds bounds;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final ScheduledExecutorService executor;
    private final EventLog events;
    private final RandomGenerator random;
    private final Map<String, WorkspaceGate> gates = new HashMap<>();
    private Exchange exchange = demands -> CompletableFuture.failedFuture(
            new FailureException(org.hornbeamspread.core.misc.FailureType.NO_LEADER, ""));
    private boolean requestInFlight;
    private boolean lastRequestFailed;
    private boolean checkScheduled;
    private long epoch;

    /** Sends demands to control. */
    interface Exchange {
        /** Completes on the engine's thread. */
        CompletableFuture<List<QuotaShare>> request(List<QuotaDemand> demands);
    }

    /** An operation that waits for its admission. */
    interface Waiter {
        /**
         * The operation may run.
         *
         * @param refundableUntilMs until when its right may be given back
         */
        void onAdmitted(long refundableUntilMs);

        /**
         * The operation must not run.
         *
         * @param retryAfterMs when the client should try again
         */
        void onLimited(long retryAfterMs);
    }

    QuotaGate(
            QuotaBounds bounds,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            ScheduledExecutorService executor,
            EventLog events,
            RandomGenerator random) {
        this.bounds = bounds;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
        this.executor = executor;
        this.events = events;
        this.random = random;
        this.epoch = clockJumpDetector.epoch();
    }

    void setExchange(Exchange newExchange) {
        exchange = newExchange;
    }

    /** Applies the limits of a configuration; operations of a workspace that has none any more are admitted. */
    void configure(List<Workspace> workspaces) {
        Map<String, QuotaPlan> plans = new HashMap<>();
        workspaces.forEach(workspace ->
                workspace.limit().ifPresent(limit -> plans.put(workspace.name(), QuotaPlan.of(limit, bounds))));
        List<WorkspaceGate> unlimited = gates.entrySet().stream()
                .filter(entry -> !plans.containsKey(entry.getKey()))
                .map(Map.Entry::getValue)
                .toList();
        gates.keySet().retainAll(plans.keySet());
        plans.forEach((name, plan) -> gates.computeIfAbsent(name, key -> new WorkspaceGate(key, plan, events, random))
                .setPlan(plan, clock.millis()));
        unlimited.forEach(WorkspaceGate::admitAll);
    }

    /**
     * Admits an operation, now or later, or refuses it.
     *
     * @param priority the priority of the operation among those of its workspace that wait; 0 is the most urgent
     * @param deadlineMs until when the operation may wait
     */
    void acquire(String workspace, int priority, long deadlineMs, Waiter waiter) {
        WorkspaceGate gate = gates.get(workspace);
        if (gate == null) {
            waiter.onAdmitted(NOT_REFUNDABLE);
            return;
        }
        voidAfterClockJump();
        OptionalLong refundableUntilMs = gate.tryAdmit(clock.millis());
        if (refundableUntilMs.isPresent()) {
            waiter.onAdmitted(refundableUntilMs.getAsLong());
        } else {
            gate.enqueue(priority, deadlineMs, isolated(waiter));
            sendRequestIfDue();
        }
        scheduleCheck();
    }

    /**
     * Gives back the right of an admitted operation of which nothing ran; without effect after the time that the operation was admitted with.
     */
    void refund(String workspace, long refundableUntilMs) {
        voidAfterClockJump();
        WorkspaceGate gate = gates.get(workspace);
        if (gate != null) {
            gate.refund(refundableUntilMs, clock.millis());
        }
    }

    /** Counts another attempt of an operation that may have run. */
    void overdraw(String workspace) {
        WorkspaceGate gate = gates.get(workspace);
        if (gate != null) {
            gate.overdraw();
        }
    }

    /** Several operations are admitted or refused together: the failure of one must not keep the others from their outcome. */
    private Waiter isolated(Waiter waiter) {
        return new Waiter() {
            @Override
            public void onAdmitted(long refundableUntilMs) {
                runIsolated(() -> waiter.onAdmitted(refundableUntilMs));
            }

            @Override
            public void onLimited(long retryAfterMs) {
                runIsolated(() -> waiter.onLimited(retryAfterMs));
            }
        };
    }

    private void runIsolated(Runnable outcome) {
        try {
            outcome.run();
        } catch (RuntimeException e) {
            events.record(
                    "limited_operation_failed", "cause", FailureException.of(e).getMessage());
        }
    }

    private void voidAfterClockJump() {
        long currentEpoch = clockJumpDetector.epoch();
        if (currentEpoch != epoch) {
            epoch = currentEpoch;
            long nowMs = clock.millis();
            gates.values().forEach(gate -> gate.onClockJump(nowMs));
        }
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            executor.schedule(this::check, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        checkScheduled = false;
        voidAfterClockJump();
        long nowMs = clock.millis();
        List.copyOf(gates.values()).forEach(gate -> gate.serveWaiters(nowMs));
        sendRequestIfDue();
        if (gates.values().stream().anyMatch(gate -> gate.isActive(nowMs))) {
            scheduleCheck();
        }
    }

    private void sendRequestIfDue() {
        long nowMs = clock.millis();
        boolean due = gates.values().stream().anyMatch(gate -> gate.isRequestDue(nowMs, REPORT_INTERVAL_MS));
        if (requestInFlight || !due) {
            return;
        }
        List<QuotaDemand> demands = new ArrayList<>();
        gates.values().stream()
                .filter(gate -> gate.isActive(nowMs))
                .forEach(gate -> demands.add(gate.takeDemand(nowMs)));
        requestInFlight = true;
        long requestEpoch = epoch;
        send(demands).whenComplete((shares, error) -> {
            requestInFlight = false;
            if (error == null) {
                lastRequestFailed = false;
                onShares(shares, nowMs, requestEpoch);
            } else {
                onFailure(demands, FailureException.of(error));
            }
        });
    }

    /** A request that can't be sent has failed: no other is sent while one is in flight. */
    private CompletableFuture<List<QuotaShare>> send(List<QuotaDemand> demands) {
        try {
            return exchange.request(demands);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private void onShares(List<QuotaShare> shares, long requestedAtMs, long requestEpoch) {
        voidAfterClockJump();
        if (requestEpoch != epoch) {
            return;
        }
        long nowMs = clock.millis();
        for (QuotaShare share : shares) {
            WorkspaceGate gate = gates.get(share.workspace());
            if (gate != null) {
                gate.onShare(share, requestedAtMs, nowMs);
                gate.serveWaiters(nowMs);
            }
        }
        sendRequestIfDue();
    }

    /** Only the first of several failures in a row is logged: they come every 0.1 s while no leader answers. */
    private void onFailure(List<QuotaDemand> demands, FailureException failure) {
        if (!lastRequestFailed) {
            events.record("quota_request_failed", "workspaces", demands.size(), "cause", failure.getMessage());
        }
        lastRequestFailed = true;
        long retryAtMs = clock.millis() + FAILED_REQUEST_BACKOFF_MS;
        for (QuotaDemand demand : demands) {
            WorkspaceGate gate = gates.get(demand.workspace());
            if (gate != null) {
                gate.onRequestFailed(demand, retryAtMs);
            }
        }
    }
}
