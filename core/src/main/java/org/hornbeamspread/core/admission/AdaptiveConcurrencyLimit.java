package org.hornbeamspread.core.admission;

/**
 * How many statements one proxy keeps in flight at one database.
 *
 * <p>The load that it answers: a burst over the database's capacity, sent by many proxies that don't know of each other. What
 * is sent beyond the slots waits in the database's own queue, in order of arrival: urgent work then waits behind everything
 * that was sent before it, and past the queue's end the database refuses. A fixed part of the slots for each proxy keeps that
 * queue short, but leaves slots idle while clients are spread unevenly. So each proxy starts with its part, takes more while it
 * uses all it has without a refusal, and gives up a part of it with each refusal. Confined to one thread.
 */
public final class AdaptiveConcurrencyLimit {
    /** Statements wanted in flight for each slot: one runs, the others are on their way or wait shortly. */
    private static final double IN_FLIGHT_PER_SLOT = 3;

    /** How far above its part a proxy may go, so that a few busy proxies can use what idle ones leave. */
    private static final double MAX_FAIR_SHARES = 3;

    private static final double DECREASE_FACTOR = 0.7;

    private double fairShare;
    private double limit;
    private int inFlight;

    /** A limit for one of a number of proxies before a database. */
    public AdaptiveConcurrencyLimit(int slots, int proxies) {
        resize(slots, proxies);
        this.limit = fairShare;
    }

    /** Takes another number of slots or proxies over. */
    public void resize(int slots, int proxies) {
        fairShare = Math.max(1, IN_FLIGHT_PER_SLOT * slots / Math.max(1, proxies));
        limit = Math.max(1, Math.min(limit, MAX_FAIR_SHARES * fairShare));
    }

    /** Takes a place if there is one. */
    public boolean tryAcquire() {
        if (inFlight >= (int) limit) {
            return false;
        }
        inFlight++;
        return true;
    }

    /** Gives a place back; {@code refused} when the database had no capacity for the statement. */
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
