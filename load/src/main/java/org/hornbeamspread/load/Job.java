package org.hornbeamspread.load;

import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.protocol.schema.ExecuteRequest;

/** One request of a caller, from its intended start over all its tries to the last word. Used by one thread. */
final class Job {
    private final RankPlan rank;
    private final long intendedUs;
    private final ExecuteRequest request;
    private final int triesAllowed;
    private final JobListener listener;

    /** The proxy not to go to: the one that answered the session last, then the one tried last. May be empty. */
    private String avoidedProxy;

    private int triesMade;
    private Effect lastWord = Effect.NOT_RUN;

    Job(
            RankPlan rank,
            long intendedUs,
            ExecuteRequest request,
            int triesAllowed,
            String avoidedProxy,
            JobListener listener) {
        this.rank = rank;
        this.intendedUs = intendedUs;
        this.request = request;
        this.triesAllowed = triesAllowed;
        this.avoidedProxy = avoidedProxy;
        this.listener = listener;
    }

    RankPlan rank() {
        return rank;
    }

    long intendedUs() {
        return intendedUs;
    }

    ExecuteRequest request() {
        return request;
    }

    JobListener listener() {
        return listener;
    }

    String avoidedProxy() {
        return avoidedProxy;
    }

    int triesMade() {
        return triesMade;
    }

    /** What is known after all tries so far: a try that may have run keeps the outcome unknown until one is done. */
    Effect lastWord() {
        return lastWord;
    }

    /** Notes that a try goes to a proxy. */
    void tried(String proxy) {
        triesMade++;
        avoidedProxy = proxy;
    }

    /** Notes a try's effect and says whether another is due. */
    boolean wantsAnotherTry(Effect effect) {
        if (effect == Effect.DONE || (effect == Effect.UNKNOWN && lastWord == Effect.NOT_RUN)) {
            lastWord = effect;
        }
        return lastWord != Effect.DONE && triesMade < triesAllowed;
    }

    /** Follows a job. */
    interface JobListener {
        /** A try is about to be sent; returns its number. */
        default int onTry() {
            return 0;
        }

        /** A try was answered, or will not be. */
        default void onAnswer(int number, Answer answer) {}

        /** The last word; the answer is empty when the job was not sent at all. */
        default void onEnd(Job job, Optional<Answer> last) {}
    }
}
