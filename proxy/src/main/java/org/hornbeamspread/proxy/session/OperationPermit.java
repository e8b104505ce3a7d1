package org.hornbeamspread.proxy.session;

import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.Route;

/**
 * The right of one operation, a single statement or a whole transaction, to run within the limit of its workspace. It is acquired before the
 * first statement is routed, and given back when the operation ends without an attempt that may have run. Confined to the engine's thread.
 */
final class OperationPermit {
    private final QuotaGate quotas;
    private final Caller caller;
    private boolean acquired;
    private long refundableUntilMs = QuotaGate.NOT_REFUNDABLE;

    /** Attempts that were sent and are not proved not to have run. */
    private int runs;

    OperationPermit(QuotaGate quotas, Caller caller) {
        this.quotas = quotas;
        this.caller = caller;
    }

    /** Acquires the right, now or later; immediately if it has been acquired before. */
    void acquire(Route route, long deadlineMs, QuotaGate.Waiter waiter) {
        if (acquired || caller.isAnonymous()) {
            waiter.onAdmitted(refundableUntilMs);
            return;
        }
        quotas.acquire(caller.workspace(), route.priority(), deadlineMs, new QuotaGate.Waiter() {
            @Override
            public void onAdmitted(long untilMs) {
                acquired = true;
                refundableUntilMs = untilMs;
                waiter.onAdmitted(untilMs);
            }

            @Override
            public void onLimited(long retryAfterMs) {
                waiter.onLimited(retryAfterMs);
            }
        });
    }

    /** Records that an attempt is sent. One that follows another which may have run counts without being asked for. */
    void onSent() {
        if (runs > 0 && acquired) {
            quotas.overdraw(caller.workspace());
        }
        runs++;
    }

    /** Records that the last attempt is proved not to have run. */
    void onNotRun() {
        runs--;
    }

    /** Ends the operation. */
    void end() {
        if (acquired && runs == 0) {
            quotas.refund(caller.workspace(), refundableUntilMs);
        }
        acquired = false;
    }
}
