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
public final class ConnectionRoom {
    /** A few round trips between regions. */
    private static final long FIRST_PAUSE_MS = 50;

    /** Small against the seconds after which a database drops the connections of a machine that is gone. */
    private static final long LAST_PAUSE_MS = 200;

    private int limit;
    private int room;
    private long pauseMs;
    private long askAgainMs;
    private long refusedAtMs = Long.MIN_VALUE;
    private boolean asking;

    /** Room for as many as the limit until the database refuses one. */
    public ConnectionRoom(int limit) {
        this.limit = limit;
        this.room = limit;
    }

    /** Connections that may be held. */
    public int room() {
        return room;
    }

    /** Takes another limit over. */
    public void resize(int newLimit) {
        room = room == limit ? newLimit : Math.min(room, newLimit);
        limit = newLimit;
    }

    /** The database refused a connection that was asked for at a time, while so many were held; false when that was known. */
    public boolean onRefused(int held, long beganMs, long nowMs) {
        room = Math.min(held, limit);
        if (beganMs < refusedAtMs) {
            return false;
        }
        refusedAtMs = nowMs;
        pauseMs = Math.min(LAST_PAUSE_MS, Math.max(FIRST_PAUSE_MS, 2 * pauseMs));
        askAgainMs = nowMs + pauseMs;
        return true;
    }

    /** A connection was opened, and so many are held now. */
    public void onOpened(int held, long nowMs) {
        room = Math.min(limit, Math.max(room, held));
        pauseMs = 0;
        askAgainMs = nowMs;
    }

    /** Whether to ask for one more. */
    public boolean isAskDue(long nowMs) {
        return room < limit && !asking && nowMs >= askAgainMs;
    }

    /** It is asked for. */
    public void onAsk() {
        asking = true;
    }

    /** That question has ended. */
    public void onAskEnded() {
        asking = false;
    }

    /** The pause before the next question. */
    public long pauseMs() {
        return pauseMs;
    }
}
