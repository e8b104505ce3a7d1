package org.hornbeamspread.core.admission;

/**
 * Limits the connections that one proxy holds to a database that refuses further ones, because its connection limit is
 * reached.
 *
 * <p>Guards against the shortage of connections after several proxies lose power and restart simultaneously. The
 * database drops the connections of a failed machine only seconds later, and accepts few new ones until then. A proxy
 * that treated a refusal as an outage would leave the connections that it did open idle. A proxy that tried to open a
 * connection for each statement would make every statement wait for a refusal.
 *
 * <p>A refusal therefore lowers the effective limit to the number of open connections. While requests wait, the proxy
 * probes for one more connection at intervals, independently of any request, and probes again immediately after a
 * success. Confined to one thread.
 */
public final class AdaptiveConnectionLimit {
    /** Backoff after the first refusal: a few round trips between regions. */
    private static final long INITIAL_BACKOFF_MS = 50;

    /** Longest backoff: short against the seconds after which a database drops the connections of a failed machine. */
    private static final long MAX_BACKOFF_MS = 200;

    private int configuredLimit;
    private int effectiveLimit;
    private long backoffMs;
    private long nextProbeAtMs;
    private long refusedAtMs = Long.MIN_VALUE;
    private boolean probing;

    /** Allows {@code limit} connections until the database refuses one. */
    public AdaptiveConnectionLimit(int limit) {
        this.configuredLimit = limit;
        this.effectiveLimit = limit;
    }

    /** The number of connections that this proxy may hold. */
    public int effectiveLimit() {
        return effectiveLimit;
    }

    /** Changes the configured limit. */
    public void resize(int newLimit) {
        effectiveLimit = effectiveLimit == configuredLimit ? newLimit : Math.min(effectiveLimit, newLimit);
        configuredLimit = newLimit;
    }

    /**
     * Records that the database refused a connection.
     *
     * @param openConnections connections that are open
     * @param startedAtMs when the refused attempt started
     * @return false when the attempt started before the last recorded refusal, which already covers this one
     */
    public boolean onRefused(int openConnections, long startedAtMs, long nowMs) {
        effectiveLimit = Math.min(openConnections, configuredLimit);
        if (startedAtMs < refusedAtMs) {
            return false;
        }
        refusedAtMs = nowMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, 2 * backoffMs));
        nextProbeAtMs = nowMs + backoffMs;
        return true;
    }

    /** Records that a connection was opened, and that {@code openConnections} are open now. */
    public void onOpened(int openConnections, long nowMs) {
        effectiveLimit = Math.min(configuredLimit, Math.max(effectiveLimit, openConnections));
        backoffMs = 0;
        nextProbeAtMs = nowMs;
    }

    /** Whether a probe for one more connection is due. */
    public boolean isProbeDue(long nowMs) {
        return effectiveLimit < configuredLimit && !probing && nowMs >= nextProbeAtMs;
    }

    /** A probe has started. */
    public void onProbeStarted() {
        probing = true;
    }

    /** The probe has ended. */
    public void onProbeEnded() {
        probing = false;
    }

    /** The backoff before the next probe. */
    public long backoffMs() {
        return backoffMs;
    }
}
