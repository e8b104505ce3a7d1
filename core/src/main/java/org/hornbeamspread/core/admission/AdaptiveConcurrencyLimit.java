package org.hornbeamspread.core.admission;

/**
 * Limits the statements that one proxy keeps in flight at one database, by additive increase and multiplicative
 * decrease.
 *
 * <p>Guards against a burst beyond the database's capacity, sent by many proxies that do not coordinate. Statements
 * beyond the database's slots wait in the database's own queue in order of arrival, so urgent statements wait behind
 * everything sent earlier, and a full queue makes the database refuse statements. A fixed share of the slots for each
 * proxy keeps that queue short, but leaves slots idle while clients are spread unevenly. Each proxy therefore starts
 * with its fair share, raises the limit while it uses all of it without a refusal, and reduces it by a factor on each
 * refusal. Confined to one thread.
 */
public final class AdaptiveConcurrencyLimit {
    /** Statements in flight per slot: one runs, the others are in transit or wait briefly. */
    private static final double IN_FLIGHT_PER_SLOT = 3;

    /**
     * Upper bound of the limit, as a multiple of the fair share: a few busy proxies can use the capacity that idle ones
     * leave.
     */
    private static final double MAX_FAIR_SHARES = 3;

    private static final double DECREASE_FACTOR = 0.7;

    private double fairShare;
    private double limit;
    private int inFlight;

    /** Creates the limit of one of {@code proxies} proxies, at a database with {@code slots} slots. */
    public AdaptiveConcurrencyLimit(int slots, int proxies) {
        resize(slots, proxies);
        this.limit = fairShare;
    }

    /** Sets the number of slots and of proxies. */
    public void resize(int slots, int proxies) {
        fairShare = Math.max(1, IN_FLIGHT_PER_SLOT * slots / Math.max(1, proxies));
        limit = Math.max(1, Math.min(limit, MAX_FAIR_SHARES * fairShare));
    }

    /** Adds a statement in flight; false when the limit is reached. */
    public boolean tryAcquire() {
        if (inFlight >= (int) limit) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** Removes a statement in flight; {@code refused} when the database had no capacity for the statement. */
    public void release(boolean refused) {
        boolean saturated = inFlight >= (int) limit;
        inFlight--;
        if (refused) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
        } else if (saturated) {
            limit = Math.min(MAX_FAIR_SHARES * fairShare, limit + 1 / limit);
        }
    }

    /** Statements in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** The present limit. */
    public int limit() {
        return (int) limit;
    }
}
