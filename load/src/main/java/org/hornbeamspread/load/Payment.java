package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;

/** One payment in the ledger: its content, and the effect of every attempt. Used by one thread. */
final class Payment {
    private final String id;
    private final String agent;
    private final long amount;

    /** The effect of each attempt, in the order of sending; empty until the attempt is completed. */
    private final List<Optional<Effect>> attempts = new ArrayList<>();

    Payment(String id, String agent, long amount) {
        this.id = id;
        this.agent = agent;
        this.amount = amount;
    }

    /** The key of the payment's row, and its idempotency key. */
    String id() {
        return id;
    }

    /** The agent whose balance the payment increases. */
    String agent() {
        return agent;
    }

    /** The amount that the payment adds to the balance. */
    long amount() {
        return amount;
    }

    /** Adds an attempt before it is sent, and returns its attempt. */
    int startAttempt() {
        attempts.add(Optional.empty());
        return attempts.size() - 1;
    }

    /** Sets the effect of an attempt. */
    void completeAttempt(int attempt, Effect effect) {
        attempts.set(attempt, Optional.of(effect));
    }

    /**
     * The outcome for the caller: DONE when an attempt was acknowledged; NOT_RUN when every attempt provably did not
     * run, or none was sent; else UNKNOWN, since an attempt without such proof may have run.
     */
    Effect outcome() {
        if (attempts.contains(Optional.of(Effect.DONE))) {
            return Effect.DONE;
        }
        return attempts.stream().allMatch(effect -> effect.equals(Optional.of(Effect.NOT_RUN)))
                ? Effect.NOT_RUN
                : Effect.UNKNOWN;
    }
}
