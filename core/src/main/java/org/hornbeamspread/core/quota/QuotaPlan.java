package org.hornbeamspread.core.quota;

import org.hornbeamspread.core.route.QuotaBounds;
import org.hornbeamspread.core.route.RateLimit;

/**
 * How the operations that one window may hold are divided.
 *
 * <p>At most A = (rate x W + burst) x (1 + overshoot) + slack operations may run in any window W, and a caller who is refused below that loses.
 * A bucket with fill rate f and capacity c admits at most f W + c in any window, also if a new leader begins with an empty one. Two things come
 * on top: a token that is used up to T after its grant adds f T, and each proxy to which operations are lent may have saved up some. So the
 * capacity and what is lent are kept small, and the fill rate takes the rest: f = (A - c - lent) / (W + T).
 *
 * @param fillRatePerS the rate f of all operations, those at lent rates among them
 * @param capacityOperations the capacity c of the bucket
 * @param maxBorrowers proxies that may hold a reserve or a lent rate at once; each may have one operation saved up
 * @param maxSavedOperations what proxies with lent rates may save up beyond that, in proportion to their rates
 * @param maxDebtOperations operations beyond the limit that are made up for: later windows don't contain more of them
 */
public record QuotaPlan(
        double fillRatePerS,
        double capacityOperations,
        int maxBorrowers,
        double maxSavedOperations,
        double maxDebtOperations) {
    /** How long a token may be used, from the sending of the request that it answers: some round trips between regions. */
    static final long TOKEN_VALIDITY_MS = 150;

    /** A request for a few operations at once must fit the bucket. */
    private static final double MIN_CAPACITY_OPERATIONS = 4;

    private static final double CAPACITY_PART = 0.02;
    private static final double SAVED_PART = 0.01;
    private static final double BORROWERS_PART = 0.03;

    /** Workspaces with a low rate use little of the window: a larger part serves as reserve. */
    private static final double MAX_SMALL_BORROWERS_PART = 0.4;

    private static final int SMALL_BORROWERS = 10;
    private static final int MAX_BORROWERS = 40;
    private static final double LENT_FRACTION = 0.4;

    /**
     * Below this rate most proxies see so few operations that a lent rate lies idle, while a new leader, which does not know what is lent, has
     * to hold back the part that may be.
     */
    private static final double MIN_FILL_RATE_FOR_LOANS_PER_S = 100;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The rate that may be lent, all proxies together. The rest fills the bucket at any time. */
    double maxLentRatePerS() {
        return fillRatePerS >= MIN_FILL_RATE_FOR_LOANS_PER_S ? LENT_FRACTION * fillRatePerS : 0;
    }

    /** The plan for a limit. */
    public static QuotaPlan of(RateLimit limit, QuotaBounds bounds) {
        double windowS = bounds.windowMs() / MILLIS_PER_SECOND;
        double allowed = (limit.ratePerS() * windowS + limit.burstOperations()) * (1 + bounds.overshoot())
                + bounds.slackOperations();
        double capacity = Math.min(allowed, Math.max(MIN_CAPACITY_OPERATIONS, CAPACITY_PART * allowed));
        int smallBorrowers = (int) Math.min(SMALL_BORROWERS, MAX_SMALL_BORROWERS_PART * (allowed - capacity));
        int borrowers = Math.min(MAX_BORROWERS, Math.max(smallBorrowers, (int) (BORROWERS_PART * allowed)));
        double saved = SAVED_PART * allowed;
        double rest = Math.max(0, allowed - capacity - borrowers - saved);
        double fillRatePerS = rest / (windowS + TOKEN_VALIDITY_MS / MILLIS_PER_SECOND);
        return new QuotaPlan(fillRatePerS, capacity, borrowers, saved, fillRatePerS * windowS);
    }

    /** Operations that a proxy may save up at a lent rate: one, and the rate's part of those of all borrowers; none without a rate. */
    double maxSavedOperations(double lentRatePerS) {
        double part = fillRatePerS > 0 ? Math.min(1, lentRatePerS / fillRatePerS) : 0;
        return part > 0 ? 1 + part * maxSavedOperations : 0;
    }
}
