package org.hornbeamspread.core.placement;

/**
 * Whether one instance answers this proxy, by the answers to what the proxy sends anyway.
 *
 * <p>The load that it answers: an instance goes dark while work arrives by the hundred a second. Nothing tells so: an attempt to
 * connect hangs until its limit, a statement until its timeout, and both look like a queue that is a little longer than usual.
 * Until the first limit is reached the dark instance is the most attractive one, since nothing new ends there to raise its
 * measured times, and after each pause a handful of units would find out at its own cost that it is still dark.
 *
 * <p>So the time since an instance last answered anything, while it owes an answer, is charged to it as an expected wait; past a
 * limit it counts as lost. A lost instance gets no work: single attempts to connect on nobody's behalf find out when it is back.
 * An attempt that began before the last news of it is no news when it fails. Confined to one thread.
 */
public final class Reachability {
    /** Twenty round trips between regions; a database with a queue answers something much more often. */
    private static final long SILENCE_TIMEOUT_MS = 400;

    private static final long INITIAL_BACKOFF_MS = 100;

    /** The limit of an attempt to connect: a dark instance is asked about half of the time. */
    private static final long MAX_BACKOFF_MS = 500;

    /** Questions without an answer. */
    private int pendingRequests;

    /** The last answer, or the question that ended a time in which nothing was owed. */
    private long silentSinceMs;

    private long backoffMs;
    private long nextProbeAtMs;

    /** When it was last known to be lost, or to be there. */
    private long lastOutcomeAtMs = Long.MIN_VALUE;

    private boolean probing;

    /** Something was sent that must be answered. */
    public void onRequestSent(long nowMs) {
        if (pendingRequests++ == 0) {
            silentSinceMs = nowMs;
        }
    }

    /** An answer came, whatever it says. */
    public void onResponse(long nowMs) {
        pendingRequests--;
        silentSinceMs = nowMs;
    }

    /** An answer is not waited for any more. */
    public void onRequestAbandoned() {
        pendingRequests--;
    }

    /** This proxy itself stood still: answers may have come that it has not read yet. */
    public void onLocalPause(long nowMs) {
        silentSinceMs = nowMs;
    }

    /** For how long the instance has owed an answer without giving any. */
    public long silentMs(long nowMs) {
        return pendingRequests > 0 ? Math.max(0, nowMs - silentSinceMs) : 0;
    }

    /** Whether the instance has just become silent for so long that it counts as lost. */
    public boolean isSilenceTimeoutExceeded(long nowMs) {
        return isReachable() && silentMs(nowMs) > SILENCE_TIMEOUT_MS;
    }

    /** Whether work may be sent there. */
    public boolean isReachable() {
        return backoffMs == 0;
    }

    /** Whether an attempt to connect on nobody's behalf is due. */
    public boolean isProbeDue(long nowMs) {
        return !isReachable() && !probing && nowMs >= nextProbeAtMs;
    }

    /** Such an attempt begins. */
    public void onProbeStarted() {
        probing = true;
    }

    /** Such an attempt has ended. */
    public void onProbeEnded() {
        probing = false;
    }

    /** An attempt or a question that began at a time has failed; false when that was known. */
    public boolean onFailed(long beganMs, long nowMs) {
        if (beganMs < lastOutcomeAtMs) {
            return false;
        }
        lastOutcomeAtMs = nowMs;
        backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(INITIAL_BACKOFF_MS, backoffMs * 2));
        nextProbeAtMs = nowMs + backoffMs;
        return true;
    }

    /** An attempt to connect was answered; true when the instance counted as lost. */
    public boolean onReached(long nowMs) {
        boolean regained = !isReachable();
        lastOutcomeAtMs = nowMs;
        backoffMs = 0;
        return regained;
    }

    /** The pause before the next attempt; 0 while the instance is reachable. */
    public long backoffMs() {
        return backoffMs;
    }
}
