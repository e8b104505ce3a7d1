package org.hornbeamspread.proxy.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.quota.QuotaAllowance;
import org.hornbeamspread.core.quota.QuotaDemand;
import org.hornbeamspread.core.quota.QuotaPlan;
import org.hornbeamspread.core.quota.QuotaShare;

/** The allowance of one workspace, and the operations that wait for it. Confined to the engine's thread. */
final class WorkspaceGate {
    /** Clients that are refused return over as long again as the expected wait, and over this time at least. */
    private static final long MIN_RETRY_SPREAD_MS = 50;

    /** How long after an operation a reserve is kept for the next one. */
    private static final long KEEP_RESERVE_MS = 3_000;

    /** A few round trips between regions: the reserve is renewed before the next operation of most workspaces. */
    private static final long RESERVE_REQUEST_INTERVAL_MS = 100;

    private final String workspace;
    private final QuotaAllowance allowance;
    private final EventLog events;
    private final RandomGenerator random;
    private final PriorityQueue<WaitingOperation> waiting = new PriorityQueue<>(
            Comparator.comparingInt(WaitingOperation::priority).thenComparingLong(WaitingOperation::order));
    private long nextOrder;
    private int arrivedOperations;
    private int unreportedOverdrafts;
    private long lastReportAtMs = Long.MIN_VALUE / 2;
    private long lastArrivalAtMs = Long.MIN_VALUE / 2;

    /** Until when control is not asked for tokens again. */
    private long askAgainAtMs = Long.MIN_VALUE / 2;

    private record WaitingOperation(int priority, long order, long deadlineMs, QuotaGate.Waiter waiter) {}

    private record Admission(QuotaGate.Waiter waiter, long refundableUntilMs) {}

    WorkspaceGate(String workspace, QuotaPlan plan, EventLog events, RandomGenerator random) {
        this.workspace = workspace;
        this.events = events;
        this.allowance = new QuotaAllowance(plan);
        this.random = random;
    }

    void setPlan(QuotaPlan plan, long nowMs) {
        allowance.setPlan(plan, nowMs);
    }

    /**
     * Admits an operation that has arrived, unless others wait or the allowance is used up. Returns until when its right may be given back;
     * empty if it is not admitted.
     */
    OptionalLong tryAdmit(long nowMs) {
        arrivedOperations++;
        lastArrivalAtMs = nowMs;
        return waiting.isEmpty() ? allowance.tryAcquire(nowMs) : OptionalLong.empty();
    }

    void enqueue(int priority, long deadlineMs, QuotaGate.Waiter waiter) {
        waiting.add(new WaitingOperation(priority, nextOrder++, deadlineMs, waiter));
    }

    void refund(long untilMs, long nowMs) {
        allowance.refund(untilMs, nowMs);
    }

    void overdraw() {
        allowance.overdraw();
    }

    void onClockJump(long nowMs) {
        allowance.onClockJump(nowMs);
    }

    /** Whether operations wait, arrivals are to be reported, or a lent rate is to be kept. */
    boolean isActive(long nowMs) {
        boolean arrivedLately = nowMs - lastArrivalAtMs < KEEP_RESERVE_MS;
        return !waiting.isEmpty() || arrivedOperations > 0 || arrivedLately || allowance.heldRatePerS(nowMs) > 0;
    }

    boolean isRequestDue(long nowMs, long reportIntervalMs) {
        boolean tokensWanted = !waiting.isEmpty() && nowMs >= askAgainAtMs;
        boolean reserveWanted = arrivedOperations > 0 && !allowance.holdsReserve(nowMs);
        long intervalMs = reserveWanted ? RESERVE_REQUEST_INTERVAL_MS : reportIntervalMs;
        return tokensWanted || (isActive(nowMs) && nowMs - lastReportAtMs >= intervalMs);
    }

    QuotaDemand takeDemand(long nowMs) {
        lastReportAtMs = nowMs;
        unreportedOverdrafts += allowance.takeOverdrawnOperations();
        QuotaDemand demand = new QuotaDemand(
                workspace,
                waiting.size(),
                arrivedOperations,
                unreportedOverdrafts,
                allowance.heldRatePerS(nowMs),
                allowance.holdsReserve(nowMs));
        arrivedOperations = 0;
        unreportedOverdrafts = 0;
        return demand;
    }

    void onShare(QuotaShare share, long requestedAtMs, long nowMs) {
        allowance.onShare(share, requestedAtMs, nowMs);
        askAgainAtMs = nowMs + share.retryAfterMs();
    }

    void onRequestFailed(QuotaDemand demand, long retryAtMs) {
        arrivedOperations += demand.arrivedOperations();
        unreportedOverdrafts += demand.overdrawnOperations();
        askAgainAtMs = retryAtMs;
    }

    /** Admits the operations that the allowance covers, and refuses those that can't be admitted in time. */
    void serveWaiters(long nowMs) {
        List<Admission> admitted = new ArrayList<>();
        OptionalLong refundableUntilMs = tryAcquireForWaiting(nowMs);
        while (refundableUntilMs.isPresent()) {
            admitted.add(new Admission(waiting.remove().waiter(), refundableUntilMs.getAsLong()));
            refundableUntilMs = tryAcquireForWaiting(nowMs);
        }
        long waitMs = Math.max(0, Math.min(askAgainAtMs - nowMs, allowance.nextOperationInMs(nowMs)));
        // In one pass: the removal of one operation after the other takes time quadratic in their number.
        Map<Boolean, List<WaitingOperation>> byLateness = waiting.stream()
                .collect(Collectors.partitioningBy(operation -> nowMs + waitMs >= operation.deadlineMs()));
        List<WaitingOperation> refused = byLateness.get(true);
        if (!refused.isEmpty()) {
            waiting.clear();
            waiting.addAll(byLateness.get(false));
        }
        // The listeners may add operations.
        admitted.forEach(admission -> admission.waiter().onAdmitted(admission.refundableUntilMs()));
        refused.forEach(operation -> operation.waiter().onLimited(retryAfterMs(waitMs, refused.size())));
        if (!refused.isEmpty()) {
            events.record(
                    "quota_exceeded",
                    "workspace",
                    workspace,
                    "refused",
                    refused.size(),
                    "waiting",
                    waiting.size(),
                    "retry_after_ms",
                    waitMs,
                    "lent_per_s",
                    allowance.heldRatePerS(nowMs));
        }
    }

    private OptionalLong tryAcquireForWaiting(long nowMs) {
        return waiting.isEmpty() ? OptionalLong.empty() : allowance.tryAcquire(nowMs);
    }

    void admitAll() {
        List<WaitingOperation> all = List.copyOf(waiting);
        waiting.clear();
        all.forEach(operation -> operation.waiter().onAdmitted(QuotaGate.NOT_REFUNDABLE));
    }

    private long retryAfterMs(long waitMs, int refusedCount) {
        long spreadMs = Math.max(MIN_RETRY_SPREAD_MS, waitMs * refusedCount);
        return waitMs + random.nextLong(spreadMs);
    }
}
