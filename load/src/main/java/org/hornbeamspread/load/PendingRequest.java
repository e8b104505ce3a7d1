package org.hornbeamspread.load;

import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.protocol.schema.ExecuteRequest;

/** One request of a caller with all its attempts, from the intended start to the final outcome. Used by one thread. */
final class PendingRequest {
    private final RankWorkload rank;
    private final long intendedStartUs;
    private final ExecuteRequest request;
    private final int maxAttempts;
    private final RequestListener listener;

    /**
     * The proxy that the next attempt must avoid: the proxy of the session's last response, then that of the last
     * attempt. May be empty.
     */
    private String avoidedProxy;

    private int attemptsMade;
    private Effect outcome = Effect.NOT_RUN;

    PendingRequest(
            RankWorkload rank,
            long intendedUs,
            ExecuteRequest request,
            int maxAttempts,
            String avoidedProxy,
            RequestListener listener) {
        this.rank = rank;
        this.intendedStartUs = intendedUs;
        this.request = request;
        this.maxAttempts = maxAttempts;
        this.avoidedProxy = avoidedProxy;
        this.listener = listener;
    }

    RankWorkload rank() {
        return rank;
    }

    long intendedStartUs() {
        return intendedStartUs;
    }

    ExecuteRequest request() {
        return request;
    }

    RequestListener listener() {
        return listener;
    }

    String avoidedProxy() {
        return avoidedProxy;
    }

    int attemptsMade() {
        return attemptsMade;
    }

    /** The outcome of the attempts so far. An attempt that may have run makes it UNKNOWN until an attempt is DONE. */
    Effect outcome() {
        return outcome;
    }

    /** Counts an attempt, which is sent to the given proxy. */
    void attemptSent(String proxy) {
        attemptsMade++;
        avoidedProxy = proxy;
    }

    /** Updates the outcome with an attempt's effect, and returns whether to send another attempt. */
    boolean needsRetry(Effect effect) {
        if (effect == Effect.DONE || (effect == Effect.UNKNOWN && outcome == Effect.NOT_RUN)) {
            outcome = effect;
        }
        return outcome != Effect.DONE && attemptsMade < maxAttempts;
    }

    /** Receives the events of a request. */
    interface RequestListener {
        /** Called before an attempt is sent; returns the number of the attempt. */
        default int onAttempt() {
            return 0;
        }

        /** Called when an attempt got a response or failed without one. */
        default void onAttemptResult(int attempt, AttemptResult result) {}

        /**
         * Called with the final outcome. The last result is empty when the limit on requests in flight stopped the
         * request.
         */
        default void onCompleted(PendingRequest request, Optional<AttemptResult> last) {}
    }
}
