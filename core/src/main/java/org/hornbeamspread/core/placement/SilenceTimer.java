package org.hornbeamspread.core.placement;

/** Measures how long requests have been pending without any response. Confined to one thread. */
public final class SilenceTimer {
    private int pendingRequests;

    /** Time of the last response, or of the first request after a time without pending requests. */
    private long silentSinceMs;

    /** Records a request that must be responded to. */
    public void onRequestSent(long nowMs) {
        if (pendingRequests++ == 0) {
            silentSinceMs = nowMs;
        }
    }

    /** Records a response, whether a success or an error. */
    public void onResponse(long nowMs) {
        pendingRequests--;
        silentSinceMs = nowMs;
    }

    /** Records that a response is no longer awaited. */
    public void onRequestAbandoned() {
        pendingRequests--;
    }

    /** Records a pause of this process itself: responses may have arrived that are not read yet. */
    public void onLocalPause(long nowMs) {
        silentSinceMs = nowMs;
    }

    /** Time without a response while requests are pending; 0 without pending requests. */
    public long silentMs(long nowMs) {
        return pendingRequests > 0 ? Math.max(0, nowMs - silentSinceMs) : 0;
    }
}
