package org.hornbeamspread.core.admission;

/**
 * How many connections a proxy may hold at a database that refuses more for being full.
 *
 * <p>The load that it answers: proxies lose power together and return at once. The database drops the connections of a machine that
 * is gone only seconds later, and has room for few until then. A proxy that takes its refusal for an outage leaves the
 * connections that it did get idle; one that asks again for each statement has every statement wait for a refusal.
 *
 * <p>So a refusal limits the proxy to what it holds. While work waits it asks for one more now and then, on nobody's behalf, and
 * for the next at once when it got one. Confined to one thread.
 */
public final class AdaptiveConnectionLimit {
    /** A few round trips between regions. */
    private static final long INITIAL_BACKOFF_MS = 50;

    /** Small against the seconds after which a database drops the connections of a machine that is gone. */
    private static final long MAX_BACKOFF_MS = 200;

    private int configuredLimit;
    private int effectiveLimit;
    private long backoffMs;
    private long nextProbeAtMs;
    private long refusedAtMs = Long.MIN_VALUE;
    private boolean probing;

    /** Room for as many as the limit until the database refuses one. */
    public AdaptiveConnectionLimit(int limit) {
        this.configuredLimit = limit;
        this.effectiveLimit = limit;
    }

    /** Connections that may be held. */
    public int effectiveLimit() {
        return effectiveLimit;
    }

    /** Takes another limit over. */
    public void resize(int newLimit) {
        effectiveLimit = effectiveLimit == configuredLimit ? newLimit : Math.min(effectiveLimit, newLimit);
        configuredLimit = newLimit;
    }

    /** The database refused a connection that was asked for at a time, while so many were held; false when that was known. */
    public boolean onRefused(int held, long beganMs, long nowMs) {
        effectiveLimit = Math.min(held, configuredLimit);
        if (beganMs < refusedAtMs) {
            return false;
        }
        refusedAtMs = nowMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * backoffMs));
        nextProbeAtMs = nowMs + backoffMs;
        return true;
    }

    /** A connection was opened, and so many are held now. */
    public void onOpened(int held, long nowMs) {
        effectiveLimit = Math.min(configuredLimit, Math.max(effectiveLimit, held));
        backoffMs = 0;
        nextProbeAtMs = nowMs;
    }

    /** Whether to ask for one more. */
    public boolean isProbeDue(long nowMs) {
        return effectiveLimit < configuredLimit && !probing && nowMs >= nextProbeAtMs;
    }

    /** It is asked for. */
    public void onProbeStarted() {
        probing = true;
    }

    /** That question has ended. */
    public void onProbeEnded() {
        probing = false;
    }

    /** The pause before the next question. */
    public long backoffMs() {
        return backoffMs;
    }
}
