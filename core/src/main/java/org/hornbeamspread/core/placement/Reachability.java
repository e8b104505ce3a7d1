package org.hornbeamspread.core.placement;

/**
 * Detects whether one instance responds to this proxy, from the responses to the requests that the proxy sends anyway.
 *
 * <p>Guards against an instance that stops responding while requests arrive at hundreds per second. No error reports
 * the failure: a connection attempt hangs until its timeout, a statement until its own, and both look like a queue that
 * is slightly longer than usual. Until the first timeout the unresponsive instance is the preferred one, since no new
 * statement completes there and raises its measured service time. After each backoff, several requests would each wait
 * for a timeout only to find the instance still unresponsive.
 *
 * <p>So the time since the last response, while requests are pending, is charged to the instance as an expected wait;
 * past a timeout the instance is unreachable. An unreachable instance receives no work: probes, which are single
 * connection attempts that no request waits for, detect its return. The failure of an attempt that started before the
 * last recorded outcome gives no new information and is ignored. Confined to one thread.
 */
public final class Reachability {
    /** Twenty round trips between regions; even a database with a queue responds to some request much more often. */
    public static final long SILENCE_TIMEOUT_MS = 400;

    private static final long INITIAL_BACKOFF_MS = 100;

    /** The timeout of a connection attempt: an unresponsive instance is being probed about half of the time. */
    private static final long MAX_BACKOFF_MS = 500;

    private final SilenceTimer silence = new SilenceTimer();
    private long backoffMs;
    private long nextProbeAtMs;

    /** When a failure or a response to a connection attempt was last recorded. */
    private long lastOutcomeAtMs = Long.MIN_VALUE;

    private boolean probing;

    /** Records a request that must be responded to. */
    public void onRequestSent(long nowMs) {
        silence.onRequestSent(nowMs);
    }

    /** Records a response, whether a success or an error. */
    public void onResponse(long nowMs) {
        silence.onResponse(nowMs);
    }

    /** Records that a response is no longer awaited. */
    public void onRequestAbandoned() {
        silence.onRequestAbandoned();
    }

    /** Records a pause of this proxy itself: responses may have arrived that are not read yet. */
    public void onLocalPause(long nowMs) {
        silence.onLocalPause(nowMs);
    }

    /** Time without a response while requests are pending; 0 without pending requests. */
    public long silentMs(long nowMs) {
        return silence.silentMs(nowMs);
    }

    /** Whether a reachable instance has been silent for longer than the timeout. */
    public boolean isSilenceTimeoutExceeded(long nowMs) {
        return isReachable() && silentMs(nowMs) > SILENCE_TIMEOUT_MS;
    }

    /** Whether work may be sent to the instance. */
    public boolean isReachable() {
        return backoffMs == 0;
    }

    /** Whether a probe is due. */
    public boolean isProbeDue(long nowMs) {
        return !isReachable() && !probing && nowMs >= nextProbeAtMs;
    }

    /** Records the start of a probe. */
    public void onProbeStarted() {
        probing = true;
    }

    /** Records the end of a probe. */
    public void onProbeEnded() {
        probing = false;
    }

    /**
     * Records that a connection attempt or a request failed.
     *
     * @param startedAtMs when the attempt or request started
     * @return false when the start was before the last recorded outcome, and the failure was ignored
     */
    public boolean onFailed(long startedAtMs, long nowMs) {
        if (startedAtMs < lastOutcomeAtMs) {
            return false;
        }
        lastOutcomeAtMs = nowMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, backoffMs * 2));
        nextProbeAtMs = nowMs + backoffMs;
        return true;
    }

    /** Records a response to a connection attempt; true when the instance was unreachable until now. */
    public boolean onReached(long nowMs) {
        boolean wasUnreachable = !isReachable();
        lastOutcomeAtMs = nowMs;
        backoffMs = 0;
        return wasUnreachable;
    }

    /** The backoff before the next probe; 0 while the instance is reachable. */
    public long backoffMs() {
        return backoffMs;
    }
}
