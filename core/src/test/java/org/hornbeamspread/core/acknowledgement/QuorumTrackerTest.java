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

final class QuorumTrackerTest {
    private static final Set<String> MEMBERS = Set.of("a", "b", "c");

    private final QuorumTracker tracker = tracker();

    /** The primary wrote (2, 7); its log at term 2 starts with the marker (2, 5). */
    @ParameterizedTest
    @CsvSource({
        // fault, term, followed term, trusted, synced term, synced index, held
        "holds it, 2, 2, true, 2, 7, true",
        "holds more, 2, 2, true, 2, 9, true",
        "one entry behind, 2, 2, true, 2, 6, false",
        "a longer tail of the old term, 2, 2, true, 1, 90, false",
        "fenced at a later term, 3, 2, true, 2, 7, false",
        "still follows the old primary, 2, 1, true, 2, 7, false",
        "lost its disk, 2, 2, false, 2, 7, false",
    })
    void aWriteIsHeldOnlyByReplicasOfItsOwnTerm(
            String fault, long term, long followed, boolean trusted, long syncedTerm, long syncedIndex, boolean held) {
        CompletableFuture<Void> write = tracker.await(2, new LogPosition(2, 7), "a");
        assertThat(write.isDone()).isFalse();
        tracker.report(new HolderReport("b", 1, term, followed, trusted, new LogPosition(syncedTerm, syncedIndex)));
        assertThat(write.isDone()).isEqualTo(held);
    }

    @Test
    void aReplayedWriteOfAnEarlierTermWaitsForTheMarker() {
        tracker.report(new HolderReport("b", 1, 2, 2, true, new LogPosition(1, 4)));
        CompletableFuture<Void> replayed = tracker.await(2, new LogPosition(1, 3), "a");
        assertThat(replayed.isDone()).isFalse();
        tracker.report(new HolderReport("b", 1, 2, 2, true, new LogPosition(2, 5)));
        assertThat(replayed.isDone()).isTrue();
    }

    @Test
    void aNewIncarnationNoLongerHoldsWhatTheOldOneHeld() {
        tracker.report(new HolderReport("b", 1, 2, 2, true, new LogPosition(2, 5)));
        tracker.report(new HolderReport("b", 2, 2, 2, true, new LogPosition(2, 5)));
        tracker.report(new HolderReport("b", 1, 2, 2, true, new LogPosition(2, 7)));
        assertThat(tracker.await(2, new LogPosition(2, 7), "a").isDone()).isFalse();
    }

    @Test
    void databasesOutsideTheViewDoNotCount() {
        tracker.report(new HolderReport("x", 1, 2, 2, true, new LogPosition(2, 7)));
        assertThat(tracker.await(2, new LogPosition(2, 7), "a").isDone()).isFalse();
    }

    @Test
    void aChangeOfTermFailsWhatWaitsAsUnknown() {
        CompletableFuture<Void> write = tracker.await(2, new LogPosition(2, 7), "a");
        tracker.view(3, MEMBERS, 3);
        assertThat(typeOf(write)).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
        tracker.report(new HolderReport("b", 1, 3, 3, true, new LogPosition(3, 9)));
        assertThat(typeOf(tracker.await(2, new LogPosition(2, 7), "a"))).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
        tracker.view(2, MEMBERS, 3);
        assertThat(typeOf(tracker.await(2, new LogPosition(2, 7), "a"))).isEqualTo(FailureType.TERM_CHANGED_AFTER_SEND);
    }

    @Test
    void writesCompleteInOrderAndALateReportChangesNothing() {
        CompletableFuture<Void> second = tracker.await(2, new LogPosition(2, 8), "a");
        CompletableFuture<Void> first = tracker.await(2, new LogPosition(2, 7), "a");
        tracker.report(new HolderReport("b", 1, 2, 2, true, new LogPosition(2, 7)));
        tracker.report(new HolderReport("a", 1, 2, 2, true, new LogPosition(2, 5)));
        assertThat(first.isDone()).isTrue();
        assertThat(second.isDone()).isFalse();
        tracker.forget(second);
        assertThat(tracker.waitingWrites()).isEqualTo(0);
    }

    private static QuorumTracker tracker() {
        QuorumTracker tracker = new QuorumTracker();
        tracker.view(2, MEMBERS, 3);
        tracker.report(new HolderReport("a", 1, 2, 2, true, new LogPosition(2, 5)));
        return tracker;
    }

    private static FailureType typeOf(CompletableFuture<Void> write) {
        return FailureException.of(assertThrows(CompletionException.class, write::join))
                .type();
    }
}
