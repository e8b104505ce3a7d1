package org.hornbeamspread.core.acknowledgement;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against acknowledging a write that a later promotion can lose. Such a loss occurs when a database counts
 * towards the quorum although its copy can be truncated, was lost with its disk or belongs to another term.
 */
final class QuorumTrackerTest {
    private static final Set<String> MEMBERS = Set.of("a", "b", "c");

    private final QuorumTracker tracker = tracker();

    /** The primary wrote the entry (2, 7); its log at term 2 starts with the marker (2, 5). */
    @ParameterizedTest
    @CsvSource({
        // scenario, term, followed term, trusted, synced term, synced index, reaches a quorum
        "holds the write, 2, 2, true, 2, 7, true",
        "holds more, 2, 2, true, 2, 9, true",
        "one entry behind, 2, 2, true, 2, 6, false",
        "longer log of the old term, 2, 2, true, 1, 90, false",
        "fenced at a later term, 3, 2, true, 2, 7, false",
        "still follows the old primary, 2, 1, true, 2, 7, false",
        "lost its disk, 2, 2, false, 2, 7, false",
    })
    void onlyTrustedReplicasOfTheCurrentTermCountTowardsTheQuorum(
            String scenario,
            long term,
            long followed,
            boolean trusted,
            long syncedTerm,
            long syncedIndex,
            boolean quorumReached) {
        CompletableFuture<Void> write = tracker.awaitQuorum(2, new LogPosition(2, 7), "a");
        assertThat(write.isDone()).isFalse();
        tracker.onReport(
                new LogStatusReport("b", 1, term, followed, trusted, new LogPosition(syncedTerm, syncedIndex)));
        assertThat(write.isDone()).isEqualTo(quorumReached);
    }

    @Test
    void replayedWriteOfAnEarlierTermWaitsForTheMarker() {
        tracker.onReport(new LogStatusReport("b", 1, 2, 2, true, new LogPosition(1, 4)));
        CompletableFuture<Void> replayed = tracker.awaitQuorum(2, new LogPosition(1, 3), "a");
        assertThat(replayed.isDone()).isFalse();
        tracker.onReport(new LogStatusReport("b", 1, 2, 2, true, new LogPosition(2, 5)));
        assertThat(replayed.isDone()).isTrue();
    }

    @Test
    void entriesOfAnEarlierIncarnationDoNotCount() {
        tracker.onReport(new LogStatusReport("b", 1, 2, 2, true, new LogPosition(2, 5)));
        tracker.onReport(new LogStatusReport("b", 2, 2, 2, true, new LogPosition(2, 5)));
        tracker.onReport(new LogStatusReport("b", 1, 2, 2, true, new LogPosition(2, 7)));
        assertThat(tracker.awaitQuorum(2, new LogPosition(2, 7), "a").isDone()).isFalse();
    }

    @Test
    void databasesThatAreNotInTheViewDoNotCount() {
        tracker.onReport(new LogStatusReport("x", 1, 2, 2, true, new LogPosition(2, 7)));
        assertThat(tracker.awaitQuorum(2, new LogPosition(2, 7), "a").isDone()).isFalse();
    }

    @Test
    void termChangeFailsWaitingWritesWithUnknownOutcome() {
        CompletableFuture<Void> write = tracker.awaitQuorum(2, new LogPosition(2, 7), "a");
        tracker.updateView(3, MEMBERS, 3);
        assertThat(failureTypeOf(write)).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
        tracker.onReport(new LogStatusReport("b", 1, 3, 3, true, new LogPosition(3, 9)));
        assertThat(failureTypeOf(tracker.awaitQuorum(2, new LogPosition(2, 7), "a")))
                .isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
        tracker.updateView(2, MEMBERS, 3);
        assertThat(failureTypeOf(tracker.awaitQuorum(2, new LogPosition(2, 7), "a")))
                .isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
    }

    @Test
    void writesCompleteInLogOrderAndOutdatedReportsAreIgnored() {
        CompletableFuture<Void> second = tracker.awaitQuorum(2, new LogPosition(2, 8), "a");
        CompletableFuture<Void> first = tracker.awaitQuorum(2, new LogPosition(2, 7), "a");
        tracker.onReport(new LogStatusReport("b", 1, 2, 2, true, new LogPosition(2, 7)));
        tracker.onReport(new LogStatusReport("a", 1, 2, 2, true, new LogPosition(2, 5)));
        assertThat(first.isDone()).isTrue();
        assertThat(second.isDone()).isFalse();
        tracker.cancel(second);
        assertThat(tracker.waitingWriteCount()).isEqualTo(0);
    }

    private static QuorumTracker tracker() {
        QuorumTracker tracker = new QuorumTracker();
        tracker.updateView(2, MEMBERS, 3);
        tracker.onReport(new LogStatusReport("a", 1, 2, 2, true, new LogPosition(2, 5)));
        return tracker;
    }

    private static FailureType failureTypeOf(CompletableFuture<Void> write) {
        return FailureException.of(assertThrows(CompletionException.class, write::join))
                .type();
    }
}
