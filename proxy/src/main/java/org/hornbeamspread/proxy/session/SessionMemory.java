package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.admission.ClientMemoryBudget;
import org.hornbeamspread.core.sql.SqlRequest;
import org.hornbeamspread.core.sql.StatementSize;

/** The memory that a session holds, as a part of the budget of all clients. Confined to the engine's thread. */
final class SessionMemory {
    /** Four values or prepared statements of the largest message. */
    static final long MAX_STATE_BYTES = 4L << 20;

    /** Session values, and likewise prepared statements: each is set on a database connection before a statement runs. */
    static final int MAX_STATE_NAMES = 1_024;

    private final ClientMemoryBudget.Account account;
    private long waitingBytes;
    private long currentBytes;
    private long stateBytes;
    private long unreadBytes;

    SessionMemory(ClientMemoryBudget budget, ClientMemoryBudget.Holder holder) {
        account = budget.open(holder);
    }

    /** Adds a request; the session may be evicted by this. */
    void onArrived(SqlRequest request) {
        account.add(StatementSize.bytes(request));
    }

    /** Records that a request that was added waits for those before it. */
    void onWaiting(SqlRequest request) {
        waitingBytes += StatementSize.bytes(request);
    }

    /** Records that a waiting request is handled from now on, until {@link #onReplied}. */
    void onHandled(SqlRequest request) {
        currentBytes = StatementSize.bytes(request);
        waitingBytes -= currentBytes;
    }

    /** Frees the request that was handled. */
    void onReplied() {
        account.subtract(currentBytes);
        currentBytes = 0;
    }

    /** Frees the waiting requests. */
    void onWaitingDropped() {
        account.subtract(waitingBytes);
        waitingBytes = 0;
    }

    /** Changes the size of the values and prepared statements; returns false, without a change, above the limits of a session. */
    boolean tryResizeState(long differenceBytes, int names) {
        boolean grows = differenceBytes > 0;
        if (grows && (stateBytes + differenceBytes > MAX_STATE_BYTES || names > MAX_STATE_NAMES)) {
            return false;
        }
        stateBytes += differenceBytes;
        if (grows) {
            account.add(differenceBytes);
        } else {
            account.subtract(-differenceBytes);
        }
        return true;
    }

    /** Sets the size of the responses that the client has not read; the session may be evicted by this. */
    void setUnread(long bytes) {
        long difference = bytes - unreadBytes;
        unreadBytes = bytes;
        if (difference > 0) {
            account.add(difference);
        } else {
            account.subtract(-difference);
        }
    }

    long waitingBytes() {
        return waitingBytes;
    }

    long currentBytes() {
        return currentBytes;
    }

    long unreadBytes() {
        return unreadBytes;
    }

    void close() {
        account.close();
    }
}
