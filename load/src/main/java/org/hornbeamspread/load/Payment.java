package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;

/** One payment as the ledger knows it: what was intended, and every answer. Used by one thread. */
final class Payment {
    private final String id;
    private final String agent;
    private final long amount;

    /** One for each try, in order; empty while its answer is awaited. */
    private final List<Optional<Effect>> attempts = new ArrayList<>();

    Payment(String id, String agent, long amount) {
        this.id = id;
        this.agent = agent;
        this.amount = amount;
    }

    /** The key of its row, and its idempotency key. */
    String id() {
        return id;
    }

    /** Whose balance it raises. */
    String agent() {
        return agent;
    }

    /** By how much. */
    long amount() {
        return amount;
    }

    /** Notes a try before it is sent, and returns its number. */
    int startAttempt() {
        attempts.add(Optional.empty());
        return attempts.size() - 1;
    }

    /** Notes the answer to a try. */
    void completeAttempt(int number, Effect effect) {
        attempts.set(number, Optional.of(effect));
    }

    /**
     * What the caller may conclude: DONE when a try was acknowledged; NOT_RUN when every try was answered so, or none was
     * sent; else UNKNOWN, since a try without proof may still have run.
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
