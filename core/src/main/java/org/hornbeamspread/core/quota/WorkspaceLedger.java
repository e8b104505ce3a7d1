package org.hornbeamspread.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.LongStream;

/** The bucket and the lent rates of one workspace. Times are those of a monotonic clock. */
final class WorkspaceLedger {
    /** At a lower rate, a proxy that has seen a single operation would hold a part of the limit that it hardly uses. */
    private static final double MIN_LENT_RATE_PER_S = 0.5;

    /** Half of the smallest bucket. */
    private static final double MIN_TOKENS_FOR_RESERVE = 2;

    private static final double ARRIVALS_WINDOW_MS = 5_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MAX_RETRY_AFTER_MS = 2_000;

    private QuotaPlan plan;
    private final long lentUnknownUntilMs;
    private final Map<String, Borrower> borrowers = new HashMap<>();
    private double tokens;
    private long filledAtMs;

    /**
     * Creates a ledger with an empty bucket.
     *
     * @param lentUnknownUntilMs until when rates that an earlier leader lent may be in use
     */
    WorkspaceLedger(QuotaPlan plan, long nowMs, long lentUnknownUntilMs) {
        this.plan = plan;
        this.filledAtMs = nowMs;
        this.lentUnknownUntilMs = lentUnknownUntilMs;
        // No operation of a workspace that had no limit until now has been counted; one that is new has sent none.
        this.tokens = nowMs >= lentUnknownUntilMs ? plan.capacityOperations() : 0;
    }

    void setPlan(QuotaPlan newPlan, long nowMs) {
        fill(nowMs);
        plan = newPlan;
        tokens = Math.min(tokens, plan.capacityOperations());
    }

    QuotaShare serve(String proxyId, QuotaDemand demand, long nowMs) {
        fill(nowMs);
        borrowers.values().removeIf(borrower -> borrower.isForgettable(nowMs));
        // A proxy reports operations again if the answer to its first report is lost.
        tokens = Math.max(tokens - demand.overdrawnOperations(), Math.min(tokens, -plan.maxDebtOperations()));
        int granted = (int) Math.max(0, Math.min(demand.wantedTokens(), Math.floor(tokens)));
        tokens -= granted;
        Borrower borrower = borrowers.computeIfAbsent(proxyId, id -> new Borrower());
        borrower.onRequest(demand.arrivedOperations(), nowMs);
        boolean mayBorrow = mayBorrow(borrower, demand.holdsReserve() || demand.heldRatePerS() > 0, nowMs);
        double lent = mayBorrow ? lentRate(borrower, demand.heldRatePerS(), nowMs) : 0;
        // The answer may be lost: the proxy then goes on at the rate that it holds.
        borrower.ratePerS = Math.max(lent, demand.heldRatePerS());
        borrower.expiresAtMs = nowMs + QuotaLedger.LENT_VALIDITY_MS;
        int reserve = mayBorrow && lent == 0 ? reserve(demand, granted) : 0;
        if (reserve > 0 || lent > 0) {
            borrower.holdsUntilMs = borrower.expiresAtMs;
        }
        return new QuotaShare(
                demand.workspace(),
                granted,
                QuotaPlan.TOKEN_VALIDITY_MS,
                granted < demand.wantedTokens() ? retryAfterMs(nowMs) : 0,
                lent,
                QuotaLedger.LENT_VALIDITY_MS,
                reserve);
    }

    /** An operation in reserve is a token that is valid for longer. A proxy keeps the one that it has, and gets one while nobody is short. */
    private int reserve(QuotaDemand demand, int granted) {
        if (demand.holdsReserve()) {
            return 1;
        }
        if (granted < demand.wantedTokens() || tokens < MIN_TOKENS_FOR_RESERVE) {
            return 0;
        }
        tokens--;
        return 1;
    }

    private double lentRate(Borrower borrower, double heldRatePerS, long nowMs) {
        double maxLent = plan.maxLentRatePerS();
        double targets = borrowers.values().stream()
                .mapToDouble(each -> each.targetRatePerS(nowMs))
                .sum();
        double target = borrower.targetRatePerS(nowMs) * Math.min(1, maxLent / Math.max(targets, Double.MIN_NORMAL));
        if (nowMs < lentUnknownUntilMs) {
            target = Math.min(target, heldRatePerS);
        }
        double rate = Math.min(target, maxLent - lentToOthers(borrower, nowMs));
        return rate >= MIN_LENT_RATE_PER_S ? rate : 0;
    }

    private double lentToOthers(Borrower borrower, long nowMs) {
        return borrowers.values().stream()
                .filter(each -> each != borrower)
                .mapToDouble(each -> each.lentRatePerS(nowMs))
                .sum();
    }

    /** Whether a place among the proxies that may hold a reserve or a lent rate is free; a new leader doesn't know those of its predecessor. */
    private boolean mayBorrow(Borrower borrower, boolean holdsPlace, long nowMs) {
        long others = borrowers.values().stream()
                .filter(each -> each != borrower && each.holdsUntilMs > nowMs)
                .count();
        boolean known = nowMs >= lentUnknownUntilMs || holdsPlace;
        return known && others < plan.maxBorrowers();
    }

    /** The rate at which the bucket fills: what is not lent, to proxies that are known or by an earlier leader. */
    private double fillRatePerS(long sinceMs) {
        if (sinceMs < lentUnknownUntilMs - QuotaLedger.LENT_VALIDITY_MS) {
            // The replaced leader may still grant.
            return 0;
        }
        double known = borrowers.values().stream()
                .mapToDouble(each -> each.lentRatePerS(sinceMs))
                .sum();
        double unknown = sinceMs < lentUnknownUntilMs ? plan.maxLentRatePerS() : 0;
        return Math.max(0, plan.fillRatePerS() - Math.max(known, unknown));
    }

    /** Fills the bucket, in steps between the times at which the rate changes by itself. */
    private void fill(long nowMs) {
        while (filledAtMs < nowMs) {
            long untilMs = nextRateChangeMs(nowMs);
            double added = fillRatePerS(filledAtMs) * (untilMs - filledAtMs) / MILLIS_PER_SECOND;
            tokens = Math.min(plan.capacityOperations(), tokens + added);
            filledAtMs = untilMs;
        }
    }

    private long nextRateChangeMs(long nowMs) {
        LongStream leaderChanges = LongStream.of(lentUnknownUntilMs - QuotaLedger.LENT_VALIDITY_MS, lentUnknownUntilMs);
        LongStream expiries = borrowers.values().stream().mapToLong(each -> each.expiresAtMs);
        return LongStream.concat(leaderChanges, expiries)
                .filter(changeMs -> changeMs > filledAtMs && changeMs < nowMs)
                .min()
                .orElse(nowMs);
    }

    private long retryAfterMs(long nowMs) {
        double rate = fillRatePerS(nowMs);
        double missing = 1 - tokens;
        return rate * MAX_RETRY_AFTER_MS <= missing * MILLIS_PER_SECOND
                ? MAX_RETRY_AFTER_MS
                : Math.max(1, Math.round(missing / rate * MILLIS_PER_SECOND));
    }

    /** A proxy that has asked for tokens, or holds a lent rate. */
    private static final class Borrower {
        private double ratePerS;
        private long expiresAtMs = Long.MIN_VALUE / 2;

        /** Until when the proxy may have an operation saved up. */
        private long holdsUntilMs = Long.MIN_VALUE / 2;

        /** Rate of arrivals as of the last request, as an exponentially decaying average. */
        private double arrivalsPerS;

        private long requestedAtMs;

        void onRequest(int arrived, long nowMs) {
            arrivalsPerS = arrivalsPerS(nowMs) + arrived / ARRIVALS_WINDOW_MS * MILLIS_PER_SECOND;
            requestedAtMs = nowMs;
        }

        /**
         * The rate that the proxy uses for certain: the rate of arrivals less its standard error. What is lent beyond lies idle, while
         * other proxies are refused.
         */
        double targetRatePerS(long nowMs) {
            double arrivals = arrivalsPerS(nowMs);
            return Math.max(0, arrivals - Math.sqrt(arrivals * MILLIS_PER_SECOND / ARRIVALS_WINDOW_MS));
        }

        double lentRatePerS(long nowMs) {
            return nowMs < expiresAtMs ? ratePerS : 0;
        }

        boolean isForgettable(long nowMs) {
            return nowMs >= expiresAtMs && nowMs - requestedAtMs > ARRIVALS_WINDOW_MS;
        }

        private double arrivalsPerS(long nowMs) {
            return arrivalsPerS * Math.exp(-(nowMs - requestedAtMs) / ARRIVALS_WINDOW_MS);
        }
    }
}
