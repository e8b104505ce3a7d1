package org.hornbeamspread.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * What one proxy may admit for one workspace: operations at the rate that control has lent, saved up to a small number, and the tokens that
 * control has granted. Everything lapses by itself, so that a proxy that does not reach control stops. Confined to one thread; times are
 * those of a monotonic clock.
 *
 * <p>The right of an operation that did not run may be used by another one, but for no longer than a token: rights that are kept while
 * databases refuse for some seconds would all be used in the window that follows.
 */
public final class QuotaAllowance {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MAX_WAIT_MS = 60_000;

    private QuotaPlan plan;
    private double savedOperations;
    private double lentRatePerS;
    private long lentUntilMs;
    private long filledAtMs;
    private int tokens;
    private long tokensUntilMs;
    private int reserveOperations;
    private int overdrawnOperations;

    /** Until when each right that was given back may be used. */
    private final Deque<Long> refundedUntilMs = new ArrayDeque<>();

    /** Rights that may be given back until then, at most, were acquired before the clocks jumped. */
    private long voidRefundsUntilMs = Long.MIN_VALUE / 2;

    /** Creates an allowance that admits nothing. */
    public QuotaAllowance(QuotaPlan plan) {
        this.plan = plan;
    }

    /** Applies a changed limit; a lower one reduces the lent rate at once. */
    public void setPlan(QuotaPlan newPlan, long nowMs) {
        if (newPlan.equals(plan)) {
            return;
        }
        fill(nowMs);
        double oldRatePerS = plan.fillRatePerS();
        double newRatePerS = newPlan.fillRatePerS();
        if (newRatePerS < oldRatePerS) {
            lentRatePerS *= newRatePerS / oldRatePerS;
            savedOperations = 0;
            reserveOperations = 0;
            tokens = 0;
            refundedUntilMs.clear();
        }
        plan = newPlan;
        savedOperations = Math.min(savedOperations, plan.maxSavedOperations(lentRatePerS));
    }

    /** Applies what control has granted in answer to a request. */
    public void onShare(QuotaShare share, long requestedAtMs, long nowMs) {
        fill(nowMs);
        lentRatePerS = share.lentRatePerS();
        lentUntilMs = requestedAtMs + share.lentValidityMs();
        savedOperations = Math.min(savedOperations, plan.maxSavedOperations(lentRatePerS));
        reserveOperations = share.reserveOperations();
        tokens = (nowMs < tokensUntilMs ? tokens : 0) + share.tokens();
        tokensUntilMs = requestedAtMs + share.tokenValidityMs();
    }

    /** Takes the right to run one operation. Returns until when it may be given back; empty if there is none. */
    public OptionalLong tryAcquire(long nowMs) {
        fill(nowMs);
        refundedUntilMs.removeIf(untilMs -> nowMs >= untilMs);
        if (!refundedUntilMs.isEmpty()) {
            return OptionalLong.of(refundedUntilMs.remove());
        }
        if (tokens > 0 && nowMs < tokensUntilMs) {
            tokens--;
            return OptionalLong.of(tokensUntilMs);
        }
        if (savedOperations >= 1) {
            savedOperations--;
            return OptionalLong.of(nowMs + QuotaPlan.TOKEN_VALIDITY_MS);
        }
        if (reserveOperations > 0 && nowMs < lentUntilMs) {
            reserveOperations--;
            return OptionalLong.of(nowMs + QuotaPlan.TOKEN_VALIDITY_MS);
        }
        return OptionalLong.empty();
    }

    /**
     * Gives back the right of an operation of which nothing ran.
     *
     * @param untilMs until when the right may be used, as it was returned when the right was acquired
     */
    public void refund(long untilMs, long nowMs) {
        if (nowMs < untilMs && untilMs > voidRefundsUntilMs) {
            refundedUntilMs.add(untilMs);
        }
    }

    /** Counts an operation that runs without having been admitted: another attempt of one that may have run. */
    public void overdraw() {
        overdrawnOperations++;
    }

    /** Returns the number of overdrawn operations, and counts from 0 again. */
    public int takeOverdrawnOperations() {
        int taken = overdrawnOperations;
        overdrawnOperations = 0;
        return taken;
    }

    /** The rate that control has lent; 0 after it has lapsed. */
    public double heldRatePerS(long nowMs) {
        return nowMs < lentUntilMs ? lentRatePerS : 0;
    }

    /** Time until the lent rate admits the next operation, if no token is granted before. */
    public long nextOperationInMs(long nowMs) {
        fill(nowMs);
        double rate = heldRatePerS(nowMs);
        double waitMs = rate > 0 ? Math.max(0, 1 - savedOperations) / rate * MILLIS_PER_SECOND : Double.MAX_VALUE;
        return nowMs + waitMs < lentUntilMs ? (long) Math.ceil(waitMs) : MAX_WAIT_MS;
    }

    /** Whether an operation is in reserve. */
    public boolean holdsReserve(long nowMs) {
        return reserveOperations > 0 && nowMs < lentUntilMs;
    }

    /** Voids everything after the clocks have jumped: how long a grant has been held is not known. */
    public void onClockJump(long nowMs) {
        voidRefundsUntilMs = Math.max(tokensUntilMs, nowMs + QuotaPlan.TOKEN_VALIDITY_MS);
        refundedUntilMs.clear();
        lentUntilMs = Long.MIN_VALUE / 2;
        tokensUntilMs = Long.MIN_VALUE / 2;
        savedOperations = 0;
        reserveOperations = 0;
        tokens = 0;
    }

    private void fill(long nowMs) {
        long usableUntilMs = Math.min(nowMs, lentUntilMs);
        if (usableUntilMs > filledAtMs) {
            double added = lentRatePerS * (usableUntilMs - filledAtMs) / MILLIS_PER_SECOND;
            savedOperations = Math.min(plan.maxSavedOperations(lentRatePerS), savedOperations + added);
        }
        filledAtMs = Math.max(filledAtMs, nowMs);
        if (nowMs >= lentUntilMs) {
            savedOperations = 0;
        }
    }
}
