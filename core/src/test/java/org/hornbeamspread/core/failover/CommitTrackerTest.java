package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hornbeamspread.core.failover.CommitTracker.SentCommit;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A lower bound above every acknowledged commit withholds each promotion; an upper bound below one lets control promote a database that
 * lacks it. A seal that ends early lets commits be acknowledged that the successor lacks; one that doesn't end refuses all writes.
 */
final class CommitTrackerTest {
    private static final int HISTORIES = 300;
    private static final int STEPS = 200;
    private static final int MAX_IN_FLIGHT = 6;

    private final ManualClock clock = new ManualClock();
    private final CommitTracker tracker = new CommitTracker(clock);

    /** A commit that the model's primary has run, or will run. */
    private static final class ModelCommit {
        private final SentCommit sent;
        private LogPosition position = LogPosition.NONE;
        private LogPosition response = LogPosition.NONE;

        private ModelCommit(SentCommit sent) {
            this.sent = sent;
        }
    }

    /** Commits of this proxy and of others, with positions that control shares, are run and answered in any order. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void boundsIncludeTheLatestAcknowledgedCommitInWhateverOrderCommitsAreAnswered(long seed) {
        Random random = new Random(seed);
        for (int i = 0; i < HISTORIES; i++) {
            checkHistory(random, new CommitTracker(clock), "seed " + seed + " history " + i);
        }
    }

    private static void checkHistory(Random random, CommitTracker tracked, String name) {
        List<ModelCommit> sent = new ArrayList<>();
        List<ModelCommit> run = new ArrayList<>();
        List<LogPosition> sharedPositions = new ArrayList<>();
        long term = 1;
        long entries = random.nextInt(3);
        LogPosition latest = LogPosition.NONE;
        for (int step = 0; step < STEPS; step++) {
            int action = random.nextInt(20);
            if (action < 6 && sent.size() < MAX_IN_FLIGHT) {
                sent.add(new ModelCommit(tracked.onSend()));
            } else if (action < 11 && !sent.isEmpty()) {
                ModelCommit commit = sent.remove(random.nextInt(sent.size()));
                entries++;
                commit.position = new LogPosition(term, entries);
                // Entries of other proxies may be in the log by the time of the response.
                entries += random.nextInt(3);
                commit.response = new LogPosition(term, entries);
                run.add(commit);
            } else if (action < 16 && !run.isEmpty()) {
                ModelCommit commit = run.remove(random.nextInt(run.size()));
                assertWithMessage(name)
                        .that(tracked.onSuccess(commit.sent, commit.response))
                        .isTrue();
                latest = LogPosition.max(latest, commit.position);
            } else if (action == 16) {
                entries += random.nextInt(4);
            } else if (action == 17) {
                sharedPositions.add(new LogPosition(term, entries));
            } else if (action == 18 && !sharedPositions.isEmpty()) {
                tracked.onObserved(sharedPositions.remove(random.nextInt(sharedPositions.size())));
            } else if (action == 19 && random.nextInt(10) == 0) {
                // A promoted database leads with all that was acknowledged; what ran and was not answered stays in
                // doubt.
                term++;
            }
            AcknowledgedCommits bounds = tracked.acknowledged();
            assertWithMessage("%s step %s: %s, acknowledged up to %s", name, step, bounds, latest)
                    .that(latest.covers(bounds.certain()) && bounds.possible().covers(latest))
                    .isTrue();
        }
    }

    /** With one commit at a time and no other proxy, the bounds are the commit's position. */
    @Test
    void boundsOfCommitsWithoutOthersAreTheirPosition() {
        tracker.onObserved(position(1, 10));
        for (long entries = 11; entries < 20; entries++) {
            tracker.onSuccess(tracker.onSend(), position(1, entries));
            assertThat(tracker.acknowledged())
                    .isEqualTo(new AcknowledgedCommits(position(1, entries), position(1, entries)));
        }
    }

    /** Positions of reads and of BEGIN include entries that no replica holds; counted as acknowledged, they withhold a promotion. */
    @Test
    void observedPositionsAreNotAcknowledged() {
        tracker.onObserved(position(1, 10));

        assertThat(tracker.acknowledged()).isEqualTo(AcknowledgedCommits.NONE);
    }

    /** A database that started again without its log: the old bounds would withhold each later promotion. */
    @Test
    void boundsAreResetWhenTheHistoryStartsAgain() {
        tracker.onObserved(position(4, 50));
        tracker.onSuccess(tracker.onSend(), position(4, 51));
        tracker.onSuccess(tracker.onSend(), position(1, 3));

        assertThat(tracker.acknowledged()).isEqualTo(new AcknowledgedCommits(position(1, 0), position(1, 3)));
        tracker.onSuccess(tracker.onSend(), position(1, 4));
        assertThat(tracker.acknowledged()).isEqualTo(new AcknowledgedCommits(position(1, 4), position(1, 4)));
    }

    /** A response that was sent before the latest one: its position is no sign of a history that started again. */
    @Test
    void lateResponseOfAnEarlierCommitDoesNotLowerTheBounds() {
        tracker.onObserved(position(1, 10));
        SentCommit early = tracker.onSend();
        SentCommit late = tracker.onSend();
        tracker.onSuccess(late, position(1, 12));
        AcknowledgedCommits before = tracker.acknowledged();
        tracker.onSuccess(early, position(1, 11));

        assertThat(tracker.acknowledged()).isEqualTo(before);
    }

    @ParameterizedTest
    @CsvSource({"1, false", "2, false", "3, true"})
    void sealedTermsAreNotAcknowledgedAndLaterOnesAre(long term, boolean acknowledged) {
        tracker.onObserved(position(2, 10));
        SentCommit sent = tracker.onSend();
        tracker.onSeal(new Seal(7, 1));

        assertThat(tracker.onSuccess(sent, position(term, 11))).isEqualTo(acknowledged);
        assertThat(tracker.acknowledged().equals(AcknowledgedCommits.NONE)).isEqualTo(!acknowledged);
        assertThat(tracker.sealedToken()).isEqualTo(7);
    }

    /** A seal that is repeated once the successor was observed sealed the successor too. */
    @Test
    void repeatedSealDoesNotSealTheSuccessor() {
        tracker.onObserved(position(2, 10));
        tracker.onSeal(new Seal(7, 2));
        tracker.onObserved(position(3, 10));
        tracker.onSeal(new Seal(7, 2));
        assertThat(tracker.isSealed()).isFalse();
        tracker.onSeal(new Seal(8, 2));

        assertThat(tracker.isSealed()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, true", "6, true", "7, false", "8, false"})
    void sealEndsOnceAnInstancePromotedUnderItsTokenLeads(long promotedToken, boolean sealed) {
        tracker.onObserved(position(2, 10));
        tracker.onSeal(new Seal(7, 2));
        tracker.onNoSeal(promotedToken);

        assertThat(tracker.isSealed()).isEqualTo(sealed);
        assertThat(tracker.onSuccess(tracker.onSend(), position(2, 11))).isEqualTo(!sealed);
    }

    /** A proxy that is cut off from control serves what it can, once an order of the control that it knew is carried out. */
    @Test
    void sealEndsWhenItHasNotBeenConfirmedForItsTimeout() {
        tracker.onObserved(position(2, 10));
        tracker.onSeal(new Seal(7, 2));
        clock.advance(Duration.ofMillis(CommitTracker.SEAL_TIMEOUT_MS));
        assertThat(tracker.isSealed()).isTrue();
        tracker.onSeal(new Seal(7, 2));
        clock.advance(Duration.ofMillis(CommitTracker.SEAL_TIMEOUT_MS));
        assertThat(tracker.sealedToken()).isEqualTo(7);
        clock.advance(Duration.ofMillis(1));

        assertThat(tracker.isSealed()).isFalse();
        assertThat(tracker.sealedToken()).isEqualTo(0);
    }

    private static LogPosition position(long term, long entries) {
        return new LogPosition(term, entries);
    }
}
