package org.hornbeamspread.load;

import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.protocol.schema.ExecuteRequest;

/** One request of a caller, from its intended start over all its tries to the last word. Used by one thread. */
final class PendingRequest {
    private final RankWorkload rank;
    private final long intendedStartUs;
    private final ExecuteRequest request;
    private final int maxAttempts;
    private final RequestListener listener;

    /** The proxy not to go to: the one that answered the session last, then the one tried last. May be empty. */
    private String avoidedProxy;

    private int attemptsMade;
    private Effect outcome = Effect.NOT_RUN;

    PendingRequest(
            RankWorkload rank,
            long intendedUs,
            ExecuteRequest request,
            int triesAllowed,
            String avoidedProxy,
            RequestListener listener) {
        this.rank = rank;
        this.intendedStartUs = intendedUs;
        this.request = request;
        this.maxAttempts = triesAllowed;
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

    /** What is known after all tries so far: a try that may have run keeps the outcome unknown until one is done. */
    Effect outcome() {
        return outcome;
    }

    /** Notes that a try goes to a proxy. */
    void attemptSent(String proxy) {
        attemptsMade++;
        avoidedProxy = proxy;
    }

    /** Notes a try's effect and says whether another is due. */
    boolean needsRetry(Effect effect) {
        if (effect == Effect.DONE || (effect == Effect.UNKNOWN && outcome == Effect.NOT_RUN)) {
            outcome = effect;
        }
        return outcome != Effect.DONE && attemptsMade < maxAttempts;
    }

    /** Follows a job. */
    interface RequestListener {
        /** A try is about to be sent; returns its number. */
        default int onAttempt() {
            return 0;
        }

        /** A try was answered, or will not be. */
        default void onAttemptResult(int number, AttemptResult answer) {}

        /** The last word; the answer is empty when the job was not sent at all. */
        default void onCompleted(PendingRequest job, Optional<AttemptResult> last) {}
    }
}
