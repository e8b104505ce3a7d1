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
 * Attempts that wait for a response of a database. After a newer view has replaced the primary or the holder that an
 * attempt was sent to, the response may never arrive. The attempt is failed with an unknown outcome, so that a
 * statement that may be retried is sent to the new primary or holder at once instead of at the deadline. Confined to the
 * dispatcher's thread.
 */
final class InFlightAttempts {
    private final Set<Attempt> attempts = Collections.newSetFromMap(new IdentityHashMap<>());

    /**
     * Tracks an attempt until its response arrives or a newer view supersedes the attempt.
     *
     * @param term the group's term that the attempt depends on; 0 if the attempt doesn't depend on the term
     * @return the attempt's outcome, or the failure of a superseded attempt
     */
    <T> CompletableFuture<T> track(String group, long term, DatabaseEntry database, CompletableFuture<T> response) {
        CompletableFuture<T> result = new CompletableFuture<>();
        Attempt attempt = new Attempt(group, term, database, result);
        attempts.add(attempt);
        response.whenComplete((value, error) -> {
            attempts.remove(attempt);
            Futures.complete(result, value, error);
        });
        return result;
    }

    /** Fails the attempts that a newer view has superseded. */
    void updateView(ViewSnapshot view) {
        for (Attempt attempt : new ArrayList<>(attempts)) {
            Optional<FailureException> failure = supersededFailure(attempt, view);
            if (failure.isPresent()) {
                attempts.remove(attempt);
                attempt.result.completeExceptionally(failure.get());
            }
        }
    }

    private static Optional<FailureException> supersededFailure(Attempt attempt, ViewSnapshot view) {
        long currentTerm = view.group(attempt.group).map(GroupView::getTerm).orElse(0L);
        if (attempt.term != 0 && currentTerm > attempt.term) {
            return Optional.of(new FailureException(
                    FailureType.TERM_CHANGED_AFTER_SEND, "term " + attempt.term + ", now " + currentTerm));
        }
        String databaseId = attempt.database.getDatabaseId();
        long currentEpoch =
                view.database(databaseId).map(DatabaseEntry::getHolderEpoch).orElse(Long.MAX_VALUE);
        if (currentEpoch > attempt.database.getHolderEpoch()) {
            return Optional.of(
                    new FailureException(FailureType.CONNECTION_LOST_AFTER_SEND, databaseId + " has another holder"));
        }
        return Optional.empty();
    }

    /** Compared by identity: each attempt is distinct, even if all fields are equal. */
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
