package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RankSchedulerTest {
    private static final List<RankSettings> RANKS =
            List.of(new RankSettings("ledger", 5, 20, 3), new RankSettings("urgent", 100, 40, 100));

    private final ManualClock clock = new ManualClock();
    private final RankScheduler scheduler = new RankScheduler(1, RANKS, clock.instant());
    private long nextId;

    @Test
    void higherRankIsServedFirstAndEachRankInArrivalOrder() {
        SlotRequest ledger = enqueue("ledger", 1000);
        SlotRequest first = enqueue("urgent", 1000);
        SlotRequest second = enqueue("urgent", 1000);
        assertThat(serveNext()).isEqualTo(first);
        assertThat(serveNext()).isEqualTo(second);
        assertThat(serveNext()).isEqualTo(ledger);
        assertThat(scheduler.poll(clock.instant())).isEmpty();
    }

    @Test
    void noMoreRequestsRunThanThereAreSlots() {
        SlotRequest first = enqueue("urgent", 1000);
        SlotRequest second = enqueue("urgent", 1000);
        assertThat(scheduler.poll(clock.instant())).hasValue(first);
        assertThat(scheduler.poll(clock.instant())).isEmpty();
        assertThat(scheduler.slotsInUse()).isEqualTo(1);
        scheduler.complete(second, clock.instant());
        assertThat(scheduler.poll(clock.instant())).isEmpty();
        scheduler.complete(first, clock.instant());
        assertThat(scheduler.poll(clock.instant())).hasValue(second);
    }

    @Test
    void requestThatCannotStartInTimeIsRefusedOnArrivalWithRetryAfter() {
        enqueue("urgent", 1000);
        for (int i = 0; i < 20; i++) {
            enqueue("urgent", 1000);
        }
        FailureException refused = scheduler.offer(request("urgent", 50)).orElseThrow();
        assertThat(refused.type()).isEqualTo(FailureType.DEADLINE_BEFORE_START);
        assertThat(refused.retryAfter().orElseThrow()).isAtLeast(Duration.ofMillis(50));
        assertThat(scheduler.offer(request("urgent", 500))).isEmpty();
        assertThat(scheduler.offer(request("urgent", -1)).orElseThrow().type())
                .isEqualTo(FailureType.DEADLINE_BEFORE_START);
    }

    /** Connection attempts to an unresponsive instance end without service, which must not raise the estimated wait. */
    @Test
    void abandonedRequestsDoNotRaiseTheEstimatedWait() {
        for (int i = 0; i < 20; i++) {
            SlotRequest hanging = enqueue("urgent", 1000);
            assertThat(serveNext()).isEqualTo(hanging);
            clock.advance(Duration.ofMillis(500));
            scheduler.abandon(hanging, clock.instant());
        }
        enqueue("urgent", 1000);
        serveNext();
        enqueue("urgent", 1000);

        assertThat(scheduler.offer(request("urgent", 50))).isEmpty();
    }

    @Test
    void fullQueueRefusesOnlyItsOwnRank() {
        for (int i = 0; i < 3; i++) {
            enqueue("ledger", 1000);
        }
        assertThat(scheduler.offer(request("ledger", 1000)).orElseThrow().type())
                .isEqualTo(FailureType.QUEUE_FULL);
        assertThat(scheduler.offer(request("urgent", 1000))).isEmpty();
        assertThat(scheduler.offer(request("unknown", 1000)).orElseThrow().type())
                .isEqualTo(FailureType.UNKNOWN_RANK);
    }

    @Test
    void expiredAndCancelledRequestsAreNotStarted() {
        SlotRequest expired = enqueue("urgent", 10);
        SlotRequest cancelled = enqueue("urgent", 1000);
        SlotRequest remaining = enqueue("ledger", 1000);
        assertThat(scheduler.cancel(cancelled)).isTrue();
        assertThat(scheduler.cancel(cancelled)).isFalse();
        assertThat(scheduler.removeExpired(clock.instant())).isEmpty();
        clock.advance(Duration.ofMillis(11));
        assertThat(scheduler.poll(clock.instant())).hasValue(remaining);
        assertThat(scheduler.removeExpired(clock.instant())).containsExactly(expired);
        assertThat(scheduler.removeExpired(clock.instant())).isEmpty();
        assertThat(scheduler.waitingRequests()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"60, 41, 1", "50, 50, 0"})
    void invalidSharesAndSlotCountsAreRejected(int urgent, int ledger, int slots) {
        List<RankSettings> ranks =
                List.of(new RankSettings("urgent", 2, urgent, 1), new RankSettings("ledger", 1, ledger, 1));
        FailureException refused =
                assertThrows(FailureException.class, () -> new RankScheduler(slots, ranks, clock.instant()));
        assertThat(refused.type()).isEqualTo(FailureType.INVALID_CONFIGURATION);
    }

    private SlotRequest enqueue(String rank, long startWithinMs) {
        SlotRequest request = request(rank, startWithinMs);
        assertThat(scheduler.offer(request)).isEmpty();
        return request;
    }

    private SlotRequest request(String rank, long startWithinMs) {
        Instant now = clock.instant();
        return new SlotRequest(nextId++, rank, now, now.plusMillis(startWithinMs));
    }

    /** Runs the next request for 5 ms. */
    private SlotRequest serveNext() {
        SlotRequest next = scheduler.poll(clock.instant()).orElseThrow();
        clock.advance(Duration.ofMillis(5));
        scheduler.complete(next, clock.instant());
        return next;
    }
}
