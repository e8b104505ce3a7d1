package org.hornbeamspread.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.DatabaseEntry;
import org.hornbeamspread.protocol.schema.GroupView;

/**
 * Attempts that wait for a database's answer. When a newer view replaces the primary or the holder that an attempt was
 * sent to, its answer may never come; the attempt is given up as unknown, so that a statement that may be sent again is
 * sent to the new one at once and not at its deadline. Owned by the dispatcher's thread.
 */
final class InFlightAttempts {
    private final Set<Attempt> attempts = Collections.newSetFromMap(new IdentityHashMap<>());

    /**
     * Watches an attempt.
     *
     * @param term the group's term that the attempt depends on; 0 when it does not
     * @return the attempt's outcome, or the failure that it was given up with
     */
    <T> CompletableFuture<T> track(String group, long term, DatabaseEntry database, CompletableFuture<T> answer) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Attempt attempt = new Attempt(group, term, database, result);
        attempts.add(attempt);
        answer.whenComplete((value, error) -> {
            attempts.remove(attempt);
            Futures.complete(result, value, error);
        });
        return result;
    }

    /** Gives up what a newer view has overtaken. */
    void updateView(ViewSnapshot view) {
        for (Attempt attempt : new ArrayList<>(attempts)) {
            Optional<FailureException> overtaken = supersededFailure(attempt, view);
            if (overtaken.isPresent()) {
                attempts.remove(attempt);
                attempt.result.completeExceptionally(overtaken.get());
            }
        }
    }

    private static Optional<FailureException> supersededFailure(Attempt attempt, ViewSnapshot view) {
        long termNow = view.group(attempt.group).map(GroupView::getTerm).orElse(0L);
        if (attempt.term != 0 && termNow > attempt.term) {
            return Optional.of(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "term " + attempt.term + ", now " + termNow));
        }
        String databaseId = attempt.database.getDatabaseId();
        long epochNow =
                view.database(databaseId).map(DatabaseEntry::getHolderEpoch).orElse(Long.MAX_VALUE);
        if (epochNow > attempt.database.getHolderEpoch()) {
            return Optional.of(
                    new FailureException(FailureType.CONNECTION_LOST_AFTER_SEND, databaseId + " has another holder"));
        }
        return Optional.empty();
    }

    /** Compared by identity: two attempts are never the same. */
    private static final class Attempt {
        private final String group;
        private final long term;
        private final DatabaseEntry database;
        private final CompletableFuture<?> result;

        Attempt(String group, long term, DatabaseEntry database, CompletableFuture<?> result) {
            this.group = group;
            this.term = term;
            this.database = database;
            this.result = result;
        }
    }
}
