package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.failover.SilentParties.SilentProxy;
import org.hornbeamspread.core.failover.SyncFailoverEffect.AskStatus;
import org.hornbeamspread.core.failover.SyncFailoverEffect.CheckProcessEnd;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Choose;
import org.hornbeamspread.core.failover.SyncFailoverEffect.CommitResumes;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Conclude;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Demote;
import org.hornbeamspread.core.failover.SyncFailoverEffect.EndResumes;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Pause;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Promote;
import org.hornbeamspread.core.failover.SyncFailoverEffect.RaiseToken;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Recover;
import org.hornbeamspread.core.failover.SyncFailoverEffect.Resume;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.core.route.LostCopy;
import org.hornbeamspread.core.sql.ReplicaStatus;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class SyncGroupFailoverTest {
    private static final SyncFailoverTimings TIMINGS =
            new SyncFailoverTimings(1_000, 500, 600, 3_000, 2_000, 300, 250, 4_000, 12_000, 1_000);

    /** A primary that does not announce itself any more once it is lost. */
    private static final MemberView PRIMARY = new MemberView("p", false, true, 3_500, false, 0);

    private static final MemberView A = new MemberView("a", false, false, 100, false, 0);
    private static final MemberView B = new MemberView("b", false, false, 100, false, 0);
    private static final List<PendingResume> RESUME_OF_A = List.of(new PendingResume("a", 0, 1));

    private final ManualClock clock = new ManualClock();
    private SyncGroupFailover failover = new SyncGroupFailover(clock, TIMINGS, 1);
    private List<MemberView> members = List.of(PRIMARY, A, B);
    private long token;
    private CommitReports commitReports = CommitReports.NONE;
    private Optional<String> chosenId = Optional.empty();
    private boolean concluded = true;
    private List<LostCopy> lostCopies = List.of();
    private List<PendingResume> pendingResumes = List.of();
    private Set<String> unsettledChoices = Set.of();
    private Optional<PrimaryProof> proof = Optional.empty();
    private Optional<String> observedPrimaryId = Optional.of("p");

    /** Answers the status request that a new leader sends to each replica once, to detect paused replicas. */
    @BeforeEach
    void reportReplicaStatuses() {
        failover.onStatus("a", replica(1, 1, 0));
        failover.onStatus("b", replica(1, 1, 0));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 500, 1_000})
    void primaryWithARecentProofIsNotReplaced(long proofAgeMs) {
        advance(5_000);

        assertThat(step(proofAgeMs)).isEmpty();
    }

    @Test
    void lostPrimaryIsReplacedByTheMostAdvancedReplica() {
        raiseToken();
        assertThat(step(1_100)).containsExactly(new AskStatus("p"), new AskStatus("a"), new AskStatus("b"));
        failover.onStatus("a", replica(3, 50, 0));
        failover.onStatus("b", replica(3, 60, 0));
        assertThat(step(1_200)).containsExactly(new Pause("a", 4), new Pause("b", 4));
        failover.onStatus("a", replica(3, 50, 4));
        assertThat(step(1_300)).isEmpty();
        failover.onStatus("b", replica(3, 61, 4));

        assertThat(step(1_400)).containsExactly(new Choose(1, "b"));
    }

    @Test
    void noCandidateIsChosenWhileAPossiblyMoreAdvancedReplicaDoesNotRespond() {
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 50, 4));
        for (int i = 0; i < 20; i++) {
            advance(300);
            assertThat(hasChoice(step(9_000))).isFalse();
        }
    }

    @Test
    void demotedPrimaryReplacesTheStatusOfAnUnresponsiveReplica() {
        raiseToken();
        step(1_100);
        failover.onStatus("p", new ReplicaStatus(true, 3, new LogPosition(3, 60), 0));
        failover.onStatus("a", replica(3, 60, 0));
        assertThat(step(1_200)).contains(new Demote("p", 4));
        failover.onDemoted("p", replica(3, 60, 0));

        assertThat(step(1_300)).containsExactly(new Choose(1, "a"));
    }

    /**
     * Acknowledged commits were missing at the promoted database: a copy that control did not know, did not reach or took for another had
     * acknowledged them (issue 53; review cases 2, 6 and 11).
     */
    @Test
    void instanceThatLacksAnAcknowledgedCommitIsNotChosen() {
        commitReports = new CommitReports(acknowledged(70, 75), false);
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 69, 4));
        assertThat(hasChoice(step(9_000))).isFalse();
        advance(200);
        members = List.of(PRIMARY, A, B, new MemberView("joined", false, false, 100, false, 0));
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 69, 4));
        failover.onStatus("joined", replica(3, 75, 4));

        assertThat(step(9_000)).contains(new Choose(1, "joined"));
    }

    /** Entries at the end of the primary's log that no replica has received are waited for only as long as a database may take to register. */
    @Test
    void instanceThatMayLackACommitIsChosenOnceNoDatabaseCanRegisterAnyMore() {
        commitReports = new CommitReports(acknowledged(60, 61), false);
        raiseToken();
        advance(2_100);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(9_000))).isFalse();
        advance(200);

        assertThat(hasChoice(step(9_000))).isTrue();
    }

    /**
     * A database that joined and acknowledged alone waited for a silent control member, and the proxy that had acknowledged did not report: the
     * count of copies lacked the database, and a replica without its commits was promoted (issue 56, copies of review case 11).
     */
    @ParameterizedTest
    @CsvSource({
        "0, 1, 0, 1500, true",
        "1, 0, 0, 1500, true",
        "1, 1, 0, 2500, false",
        "1, 1, 0, 2501, true",
        "3, 1, 0, 2501, true",
        "1, 2, 0, 3500, false",
        "1, 2, 0, 3501, true",
        "1, 1, 2500, 1500, false",
        "1, 1, 2501, 1500, true"
    })
    void choiceAwaitsADatabaseOfWhichNobodyMayHaveTold(
            int silentProxies, int silentMembers, long proxyEndedMs, long sinceProofMs, boolean chosen) {
        raiseToken();
        silent(silentProxies, silentMembers, proxyEndedMs);
        advance(sinceProofMs - 1_001);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(hasChoice(step(sinceProofMs))).isEqualTo(chosen);
        assertThat(failover.awaitsRegistration(snapshot(sinceProofMs, 0, false, false)))
                .isEqualTo(!chosen);
    }

    /** The database that is waited for is the only one that holds the commits. */
    @Test
    void databaseThatRegistersMeanwhileIsChosen() {
        raiseToken();
        silent(1, 1, 0);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(1_001))).isFalse();
        advance(1_600);
        members = List.of(PRIMARY, A, B, new MemberView("joined", false, false, 0, false, 0));
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(2_601))).isFalse();
        failover.onStatus("joined", replica(3, 75, 4));

        assertThat(step(2_601)).contains(new Choose(1, "joined"));
    }

    /** A demoted primary has every acknowledged commit, whoever is silent. */
    @Test
    void demotedPrimaryShowsWhatSilentPartiesMayKnow() {
        raiseToken();
        silent(1, 1, 0);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onDemoted("p", replica(3, 60, 0));

        assertThat(hasChoice(step(1_001))).isTrue();
    }

    /** A proxy that falls silent after the order would hold up its repetition. */
    @Test
    void orderThatWasSentIsRepeatedWhoeverFallsSilent() {
        chooseB();
        assertThat(step(1_400)).contains(new Promote(1, "b"));
        silent(1, 1, 0);
        advance(300);
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(1_700)).contains(new Promote(1, "b"));
    }

    /** A proxy that is asked to stop acknowledging may do so until it has reported. */
    @Test
    void commitReportsOfProxiesInTouchAreAwaited() {
        commitReports = new CommitReports(acknowledged(60, 60), true);
        raiseToken();
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(9_000))).isFalse();
        assertThat(failover.seal()).isPresent();
        commitReports = new CommitReports(acknowledged(60, 60), false);

        assertThat(hasChoice(step(9_000))).isTrue();
    }

    /**
     * A seal under a token that was never committed ended nowhere: the primary was kept, its token was a lower one, and proxies refused all writes
     * until the seal's timeout.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sealIsPublishedOnceItsTokenIsCommitted(boolean committed) {
        advance(1_001);
        assertThat(step(1_001)).containsExactly(new RaiseToken(0));
        assertThat(failover.seal()).isEmpty();
        failover.onLogCommitEnded(committed);
        token = committed ? 1 : 0;
        concluded = !committed;
        step(committed ? 1_001 : 0);

        assertThat(failover.seal().map(Seal::token)).isEqualTo(committed ? Optional.of(1L) : Optional.empty());
    }

    /** Without a seal in between, a promotion that starts again under a later token lets proxies acknowledge. */
    @Test
    void sealLastsUntilThatOfTheNextTokenIsPublished() {
        raiseToken();
        step(1_100);
        assertThat(failover.seal()).hasValue(new Seal(1, 0));
        token = 2;
        assertThat(step(1_200)).containsExactly(new RaiseToken(2));
        assertThat(failover.seal()).hasValue(new Seal(1, 0));
        failover.onLogCommitEnded(true);
        token = 3;
        step(1_300);

        assertThat(failover.seal().map(Seal::token)).hasValue(3L);
    }

    /** The logs didn't tell a promotion that waits for a commit which only proxies know from one that waits for replicas. */
    @ParameterizedTest
    @CsvSource({"60, false", "61, true"})
    void promotionIsWithheldWhileEveryReplicaLacksAnAcknowledgedCommit(long acknowledgedEntries, boolean withheld) {
        commitReports = new CommitReports(acknowledged(acknowledgedEntries, 70), false);
        raiseToken();
        step(1_100);
        assertThat(failover.withheldPosition(snapshot(1_100, 0, false, false))).isEmpty();
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(failover.withheldPosition(snapshot(1_100, 0, false, false)))
                .isEqualTo(withheld ? Optional.of(new LogPosition(3, 60)) : Optional.empty());
        chosenId = Optional.of("b");
        assertThat(failover.withheldPosition(snapshot(1_100, 0, false, false))).isEmpty();
    }

    /** Between the choice and the order, a proxy reports a commit that the chosen instance lacks. */
    @Test
    void chosenInstanceThatLacksAReportedCommitIsNotPromoted() {
        raiseToken();
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(9_000))).isTrue();
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("a");
        commitReports = new CommitReports(acknowledged(61, 61), false);

        List<SyncFailoverEffect> effects = step(9_000);

        assertThat(effects.stream().noneMatch(SyncFailoverEffect.Promote.class::isInstance))
                .isTrue();
        assertThat(effects).containsExactly(new RaiseToken(1));
    }

    /** A database that registered between the choice and the order held 39 acknowledged commits that the chosen instance lacked. */
    @Test
    void chosenInstanceIsNotPromotedBeforeADatabaseThatRegisteredSinceHasResponded() {
        raiseToken();
        step(9_000);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(9_000))).isTrue();
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("a");
        members = List.of(PRIMARY, A, B, new MemberView("joined", false, false, 0, false, 0));
        assertThat(step(9_000)).contains(new AskStatus("joined"));
        failover.onStatus("joined", replica(3, 99, 0));

        assertThat(step(9_000)).containsExactly(new RaiseToken(1));
    }

    /** Commits in flight at a primary that is demoted in a planned replacement keep their results. */
    @Test
    void commitsOfAPrimaryThatControlDemotesAreAcknowledged() {
        members = List.of(new MemberView("p", true, true, 0, false, 0), A, B);
        advance(4_000);
        proof = Optional.of(new PrimaryProof(new LogPosition(3, 60), clock.millis()));
        assertThat(step(0)).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        step(0);

        assertThat(failover.seal()).isEmpty();
    }

    /** A new leader has no reports, and chose an instance that lacked what proxies had reported to its predecessor. */
    @Test
    void newLeaderAwaitsTheCommitReportsOfProxies() {
        token = 1;
        concluded = false;
        failover = new SyncGroupFailover(clock, TIMINGS, 2);
        commitReports = new CommitReports(AcknowledgedCommits.NONE, true);
        assertThat(step(9_000)).containsExactly(new RaiseToken(1));
        failover.onLogCommitEnded(true);
        token = 2;
        for (int elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 100) {
            failover.onStatus("a", replica(3, 60, 4));
            failover.onStatus("b", replica(3, 60, 4));
            assertThat(hasChoice(step(9_000))).isFalse();
            advance(100);
        }
        advance(100);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(hasChoice(step(9_000))).isTrue();
    }

    /** The demotion of a reachable primary had no response, and the choice did not wait for the reports under the seal that followed. */
    @Test
    void commitReportsUnderALateSealAreAwaited() {
        advance(4_000);
        members = List.of(new MemberView("p", true, true, 0, false, 0), A, B);
        assertThat(step(0)).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        commitReports = new CommitReports(acknowledged(60, 60), true);
        advance(1_600);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(hasChoice(step(9_000))).isFalse();
        assertThat(failover.seal()).isPresent();
        commitReports = new CommitReports(acknowledged(60, 60), false);

        assertThat(hasChoice(step(9_000))).isTrue();
    }

    /** A seal under a token that no leader commits would stop the writes at a working primary. */
    @Test
    void proxiesAreSealedOnlyUnderACommittedToken() {
        advance(1_001);
        assertThat(step(1_001)).containsExactly(new RaiseToken(0));
        assertThat(failover.seal()).isEmpty();
        failover.onLogCommitEnded(false);
        step(0);
        assertThat(failover.seal()).isEmpty();
        raiseToken();
        step(1_100);

        assertThat(failover.seal().map(Seal::token)).hasValue(1L);
    }

    private static AcknowledgedCommits acknowledged(long certainEntries, long possibleEntries) {
        return new AcknowledgedCommits(new LogPosition(3, certainEntries), new LogPosition(3, possibleEntries));
    }

    @Test
    void replicaBehindTheDemotedPrimaryIsNotChosen() {
        raiseToken();
        step(1_100);
        failover.onDemoted("p", replica(3, 60, 0));
        failover.onStatus("a", replica(3, 59, 4));

        assertThat(hasChoice(step(1_300))).isFalse();
    }

    /**
     * The promoted instance was demoted while the lost primary was unreachable, and a replica that had missed all later
     * commits was the only remaining candidate (fleetbench hunt entoto-rent, trouble-1, seed 211260082905).
     */
    @Test
    void replicaBehindADemotedSuccessorIsNotChosen() {
        members = List.of(PRIMARY, new MemberView("a", false, true, 50, false, 0), B);
        raiseToken();
        step(1_100);
        failover.onStatus("b", replica(1, 9, 2));
        failover.onDemoted("a", replica(2, 62, 0));
        assertThat(hasChoice(step(1_200))).isFalse();
        advance(1_600);
        failover.onStatus("b", replica(1, 9, 2));
        failover.onDemoted("a", replica(2, 62, 0));

        assertThat(step(2_800)).containsExactly(new Choose(1, "a"));
    }

    @Test
    void promotedInstanceIsNotReplacedWithinThePromotionTimeout() {
        chooseB();
        step(2_000);
        failover.onPromotionResult(1, true);
        step(2_000);
        failover.onLogCommitEnded(true);
        concluded = true;
        advance(2_900);

        assertThat(step(Long.MAX_VALUE / 4)).doesNotContain(new RaiseToken(1));
        advance(200);
        assertThat(step(Long.MAX_VALUE / 4)).containsExactly(new RaiseToken(1));
    }

    /**
     * The old primary still announced that it was the primary and draining, so that a second promotion began during the first
     * (fleetbench hunt ujaas-core, scale-2, seed 299669925929).
     */
    @Test
    void drainingPrimaryIsNotReplacedAgainDuringTakeover() {
        members = List.of(new MemberView("p", true, true, 100, false, 0), A, B);
        raiseToken();
        step(100);
        failover.onDemoted("p", replica(3, 60, 0));
        failover.onStatus("a", replica(3, 59, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(step(100)).containsExactly(new Choose(1, "b"));
        chosenId = Optional.of("b");
        failover.onLogCommitEnded(true);
        step(100);
        failover.onPromotionResult(1, true);
        step(100);
        failover.onLogCommitEnded(true);
        concluded = true;
        for (int i = 0; i < 9; i++) {
            advance(300);
            assertThat(withoutFencing(step(100))).isEmpty();
        }
    }

    /** Commits were acknowledged between the promotion request and the takeover by the successor (incident inc1, ujaas-core). */
    @Test
    void drainingPrimaryAcknowledgesNothingDuringTakeover() {
        members = List.of(new MemberView("p", true, true, 0, false, 0), A, B);
        assertThat(step(0)).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        step(0);
        failover.onStatus("p", new ReplicaStatus(true, 2, new LogPosition(2, 237), 0));
        failover.onStatus("a", replica(2, 237, 0));
        failover.onStatus("b", replica(2, 237, 0));
        assertThat(step(0)).containsExactly(new Demote("p", 3), new Pause("a", 3), new Pause("b", 3));
        failover.onStatus("a", replica(2, 237, 3));
        failover.onStatus("b", replica(2, 237, 3));
        assertThat(hasChoice(step(0))).isFalse();
        failover.onDemoted("p", replica(2, 237, 0));
        assertThat(hasChoice(step(0))).isTrue();
        chosenId = Optional.of("a");
        failover.onLogCommitEnded(true);
        assertThat(step(0)).containsExactly(new Promote(1, "a"));
        failover.onPromotionResult(1, true);
        assertThat(step(0)).containsExactly(new Conclude(1, "a"));
        failover.onLogCommitEnded(true);
        concluded = true;
        advance(590);

        assertThat(withoutFencing(step(0))).isEmpty();
    }

    /**
     * The demoted primary followed its successor, and its status was taken as proof although the log had grown (fleetbench hunt
     * ujaas-core, scale-2, seed 299669925929).
     */
    @Test
    void demotionIsInvalidOnceALaterTermIsReported() {
        raiseToken();
        step(1_100);
        failover.onDemoted("p", replica(3, 60, 0));
        advance(1_600);
        failover.onStatus("p", replica(4, 60, 0));
        failover.onStatus("a", replica(4, 60, 5));

        assertThat(hasChoice(step(9_000))).isFalse();
    }

    /** A draining primary that was demoted and promoted again led until it ended, and nothing replaced it (review case 15). */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void primaryThatWasDemotedAndPromotedAgainIsReplaced(boolean draining) {
        members = List.of(new MemberView("p", draining, true, 0, false, 0), A, B);
        assertThat(failover.step(snapshot(0, 0, false, !draining))).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        step(0);
        failover.onDemoted("p", replica(2, 237, 0));
        advance(1_600);
        failover.onStatus("p", replica(2, 237, 0));
        failover.onStatus("a", replica(2, 200, 3));
        failover.onStatus("b", replica(2, 200, 3));
        assertThat(step(1_600)).containsExactly(new Choose(1, "p"));
        chosenId = Optional.of("p");
        failover.onLogCommitEnded(true);
        assertThat(step(1_600)).containsExactly(new Promote(1, "p"));
        failover.onPromotionResult(1, true);
        assertThat(step(1_600)).containsExactly(new Conclude(1, "p"));
        failover.onLogCommitEnded(true);
        concluded = true;
        advance(200);
        failover.onStatus("p", new ReplicaStatus(true, 3, new LogPosition(3, 237), 0));
        List<SyncFailoverEffect> effects = new ArrayList<>();
        for (int i = 0; i < 11; i++) {
            effects.addAll(failover.step(snapshot(0, 0, false, !draining)));
            assertThat(effects).doesNotContain(new RaiseToken(1));
            advance(280);
        }

        assertThat(failover.step(snapshot(0, 0, false, !draining))).containsExactly(new RaiseToken(1));
    }

    /** In random histories, a repeated promotion request took effect after the promoted instance had been demoted. */
    @Test
    void drainingPrimaryIsReplacedOnlyAfterThePromotionTimeout() {
        token = 1;
        chosenId = Optional.of("p");
        members = List.of(new MemberView("p", true, true, 0, false, 0), A, B);
        for (int i = 0; i < 10; i++) {
            assertThat(step(0)).isEmpty();
            advance(300);
        }
        advance(300);

        assertThat(step(0)).containsExactly(new RaiseToken(1));
    }

    /** An entry of another writer that claimed to be a draining primary had the working primary demoted. It is asked for its status instead. */
    @Test
    void anotherInstanceThatSaysItLeadsDoesNotReplaceThePrimary() {
        MemberView odd = new MemberView("odd", true, true, 0, false, 7);
        members = List.of(new MemberView("p", false, true, 900, false, 0), A, B);
        step(0);
        members = List.of(new MemberView("p", false, true, 900, false, 0), A, B, odd);

        assertThat(step(0)).containsExactly(new AskStatus("odd"));
    }

    /** A new leader gets no response to its first requests, and the promotion in its log was long ago. */
    @Test
    void earlierPromotionDoesNotDelayReplacementOfALostPrimary() {
        token = 1;
        chosenId = Optional.of("p");
        members = List.of(new MemberView("p", false, true, 9_000, false, 0), A, B);
        step(9_000);
        advance(601);

        assertThat(step(9_000)).containsExactly(new RaiseToken(1));
    }

    @Test
    void drainingReplicaIsNotChosenOverAnEquallyAdvancedReplica() {
        members = List.of(PRIMARY, new MemberView("a", true, false, 100, false, 0), B);
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(1_300)).containsExactly(new Choose(1, "b"));
    }

    @Test
    void promotionRequestIsRepeatedUntilItHasAResult() {
        chooseB();
        assertThat(step(2_000)).containsExactly(new Promote(1, "b"));
        assertThat(step(2_000)).containsExactly(new AskStatus("p"));
        assertThat(step(2_000)).isEmpty();
        advance(300);
        assertThat(step(2_300)).containsExactly(new AskStatus("p"), new AskStatus("a"), new AskStatus("b"));
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(step(2_300)).containsExactly(new Promote(1, "b"));
        failover.onPromotionResult(1, true);

        assertThat(step(2_400)).containsExactly(new Conclude(1, "b"));
    }

    /** A replica restarted between two requests and received more entries (SyncFailoverHistoriesTest, 3 databases, seed 575). */
    @Test
    void promotionRequestIsNotRepeatedOnceAnotherReplicaMayHoldMore() {
        chooseB();
        step(2_000);
        advance(300);
        step(2_300);
        failover.onStatus("b", replica(3, 60, 4));
        failover.onStatus("a", replica(3, 70, 0));
        for (int i = 0; i < 4; i++) {
            assertThat(step(2_300)).doesNotContain(new Promote(1, "b"));
            advance(300);
        }
        advance(300);
        assertThat(step(3_000)).containsExactly(new RaiseToken(1, Set.of("b")));
    }

    @Test
    void replicasAreResumedOnlyOnceThePromotedInstanceLeads() {
        chooseB();
        for (int i = 0; i < 10; i++) {
            advance(300);
            failover.onStatus("a", replica(3, 50, 4));
            failover.onStatus("b", replica(3, 60, 4));
            assertThat(step(2_000)).doesNotContain(new Resume("a"));
        }
        failover.onPromotionResult(1, true);
        step(2_400);
        failover.onLogCommitEnded(true);
        concluded = true;
        advance(900);
        assertThat(withoutFencing(step(0))).isEmpty();
        members = List.of(A, new MemberView("b", false, true, 50, false, 0));
        List<SyncFailoverEffect> unobserved = step(0);
        assertThat(unobserved).contains(new AskStatus("b"));
        assertThat(withoutFencing(unobserved)).isEmpty();
        failover.onStatus("b", new ReplicaStatus(true, 4, new LogPosition(4, 60), 0));

        assertThat(step(0)).containsExactly(new CommitResumes(1, RESUME_OF_A));
        failover.onResumesCommitEnded(RESUME_OF_A, true);
        pendingResumes = RESUME_OF_A;
        assertThat(step(0)).containsExactly(new Resume("a"));
        failover.onResumed("a", replica(4, 60, 0));
        assertThat(step(0)).containsExactly(new EndResumes(RESUME_OF_A));
        pendingResumes = List.of();
        advance(300);
        assertThat(step(0)).isEmpty();
    }

    /**
     * A choice was abandoned before anything was ordered, and the replicas stayed paused for 3 s after the instance that was chosen instead
     * led: no write was acknowledged, and a draining primary ended with commits that only its log had (issue 56, the day of review case 15).
     */
    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void replicasAreResumedOnceTheInstanceLeadsThatReplacedAnUnorderedChoice(boolean ordered, boolean resumed) {
        chooseB();
        if (ordered) {
            assertThat(step(1_400)).contains(new Promote(1, "b"));
            advance(1_600);
            members = List.of(PRIMARY, A, B, new MemberView("c", false, false, 0, false, 0));
            assertThat(step(3_000)).containsExactly(new RaiseToken(1, Set.of("b")));
            members = List.of(PRIMARY, A, B);
        } else {
            failover.onStatus("a", replica(3, 70, 4));
            assertThat(step(1_400)).containsExactly(new RaiseToken(1));
        }
        failover.onLogCommitEnded(true);
        token = 2;
        chosenId = Optional.empty();
        unsettledChoices = ordered ? Set.of("b") : Set.of();
        step(1_500);
        advance(ordered ? 3_100 : 0);
        failover.onStatus("a", replica(3, 70, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(step(1_500)).containsExactly(new Choose(2, "a"));
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("a");
        assertThat(step(1_500)).contains(new Promote(2, "a"));
        failover.onPromotionResult(2, true);
        step(1_500);
        failover.onLogCommitEnded(true);
        concluded = true;
        members = List.of(new MemberView("a", false, true, 50, false, 0), B);
        observedPrimaryId = Optional.of("a");
        advance(600);
        failover.onStatus("a", new ReplicaStatus(true, 4, new LogPosition(4, 70), 0));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(50).contains(new CommitResumes(2, List.of(new PendingResume("b", 0, 1)))))
                .isEqualTo(resumed);
    }

    /**
     * Another writer announced the promoted instance as the primary before its promotion had taken effect. The other replica was resumed, and
     * commits that it acknowledged for the old primary were lost. Only a response of the instance shows that it leads.
     */
    @ParameterizedTest
    @CsvSource({"false, 2900, false", "false, 4000, false", "true, 100, true"})
    void announcementDoesNotShowThatThePromotedInstanceLeads(boolean leads, long afterMs, boolean expectedResume) {
        chooseB();
        step(2_000);
        failover.onPromotionResult(1, true);
        step(2_000);
        failover.onLogCommitEnded(true);
        concluded = true;
        observedPrimaryId = Optional.of("b");
        boolean resumed = false;
        for (long atMs = 100; atMs <= afterMs; atMs += 100) {
            advance(100);
            members = List.of(PRIMARY, A, new MemberView("b", false, true, 50, false, 0));
            failover.onStatus("a", replica(3, 50, 4));
            failover.onStatus("b", new ReplicaStatus(leads, leads ? 4 : 3, new LogPosition(3, 60), leads ? 0 : 4));
            resumed |= step(atMs + 50).contains(new CommitResumes(1, RESUME_OF_A));
        }

        assertThat(resumed).isEqualTo(expectedResume);
    }

    /**
     * The promoted instance departed before its promotion took effect, and its process ran on. The other replica was resumed, and
     * commits that it acknowledged for the old primary were lost when the departed instance took over.
     */
    @Test
    void replicasStayPausedWhileADepartedInstanceMayTakeOver() {
        chooseB();
        step(2_000);
        failover.onPromotionResult(1, true);
        step(2_000);
        failover.onLogCommitEnded(true);
        concluded = true;
        members = List.of(PRIMARY, A);
        lostCopies = List.of(new LostCopy("s", new Address("10.0.0.2", 1), "b", 1, false));
        advance(300);
        List<SyncFailoverEffect> effects = step(100);

        assertThat(effects).doesNotContain(new CommitResumes(1, RESUME_OF_A));
        assertThat(effects).contains(new CheckProcessEnd(lostCopies.get(0)));
        failover.onProcessEnded(lostCopies.get(0));
        advance(300);
        assertThat(step(100)).contains(new CommitResumes(1, RESUME_OF_A));
    }

    /**
     * A resume without a response was carried out 11 s later, during another promotion, and the resumed replica acknowledged commits
     * that the chosen candidate lacked (review case 10). Until the resume has ended, the replica is only ever the candidate itself.
     */
    @ParameterizedTest
    @CsvSource({"10900, 40, false, ''", "10900, 70, false, a", "15001, 40, true, b", "15001, 70, true, a"})
    void replicaWithAPendingResumeIsNotPausedAndIsTheOnlyCandidate(
            long resumedAgoMs, long entriesOfA, boolean expectedPause, String expectedChoice) {
        pendingResumes = RESUME_OF_A;
        resumeAWithoutResponse();
        advance(resumedAgoMs - 1_001);
        raiseToken();
        step(9_000);
        failover.onStatus("a", replica(3, entriesOfA, 0));
        failover.onStatus("b", replica(3, 60, 0));
        List<SyncFailoverEffect> effects = step(9_000);
        assertThat(effects).contains(new Pause("b", 4));
        assertThat(effects.contains(new Pause("a", 4))).isEqualTo(expectedPause);
        failover.onStatus("a", replica(3, entriesOfA, expectedPause ? 4 : 0));
        failover.onStatus("b", replica(3, 60, 4));

        List<SyncFailoverEffect> choices =
                step(9_000).stream().filter(Choose.class::isInstance).toList();
        assertThat(choices).isEqualTo(expectedChoice.isEmpty() ? List.of() : List.of(new Choose(1, expectedChoice)));
    }

    /**
     * The resume of an earlier leader may still be sent by that leader, to a later process of the replica too, or be carried out late
     * (SyncFailoverHistoriesTest with stopped leaders, 3 databases, 600 ms, seed 1108).
     */
    @ParameterizedTest
    @CsvSource({"22900, 0, false", "23001, 0, true", "0, 1, false"})
    void resumeOfAnEarlierLeaderIsPendingUntilItCanNoLongerBeCarriedOut(
            long leaderAgeMs, long bornMsOfA, boolean expectedPause) {
        pendingResumes = List.of(new PendingResume("a", 0, 0));
        members = List.of(PRIMARY, new MemberView("a", false, false, 100, false, bornMsOfA), B);
        advance(Math.max(0, leaderAgeMs - 1_001));
        raiseToken();
        failover.onStatus("a", replica(3, 40, 0));

        assertThat(step(9_000).contains(new Pause("a", 4))).isEqualTo(expectedPause);
    }

    /** After the demotion by an earlier leader, no member leads, and no pause is needed to show it. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void candidateIsChosenOnceAllMembersRespondAsReplicas(boolean primaryResponds, boolean expectedChoice) {
        pendingResumes = List.of(new PendingResume("a", 0, 0), new PendingResume("b", 0, 0));
        raiseToken();
        failover.onStatus("a", replica(3, 60, 0));
        failover.onStatus("b", replica(3, 60, 0));
        if (primaryResponds) {
            failover.onStatus("p", replica(3, 59, 0));
        }

        assertThat(hasChoice(step(9_000))).isEqualTo(expectedChoice);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void resumeEndsWithTheProcessOfTheReplica(long laterBornMs, boolean expectedPause) {
        resumeAWithoutResponse();
        pendingResumes = RESUME_OF_A;
        members = List.of(PRIMARY, new MemberView("a", false, false, 100, false, laterBornMs), B);
        raiseToken();
        failover.onStatus("a", replica(3, 40, 0));

        assertThat(step(9_000).contains(new Pause("a", 4))).isEqualTo(expectedPause);
    }

    /** Two replicas may receive while a candidate is promoted, so none of them is a candidate before the primary is demoted. */
    @Test
    void noCandidateIsChosenWhileTwoReplicasHavePendingResumes() {
        pendingResumes = List.of(new PendingResume("a", 0, 0), new PendingResume("b", 0, 0));
        raiseToken();
        failover.onStatus("a", replica(3, 60, 0));
        failover.onStatus("b", replica(3, 60, 0));
        assertThat(hasChoice(step(9_000))).isFalse();
        failover.onDemoted("p", replica(3, 60, 0));

        assertThat(hasChoice(step(9_000))).isTrue();
    }

    /**
     * A leader that had been replaced while it stood still resumed a replica that its successor had paused (review case 9). A resume
     * is sent only after a commit that succeeds for the leader alone, under the token of the latest promotion, and soon after it.
     */
    @ParameterizedTest
    @CsvSource({"true, 900, true", "false, 900, false", "true, 1100, false"})
    void resumeIsSentOnlyAfterItsCommit(boolean committed, long commitMs, boolean expectedResume) {
        failover.onStatus("a", replica(1, 1, 2));
        assertThat(step(0)).containsExactly(new CommitResumes(0, RESUME_OF_A));
        advance(commitMs);
        failover.onResumesCommitEnded(RESUME_OF_A, committed);

        assertThat(step(0).contains(new Resume("a"))).isEqualTo(expectedResume);
    }

    @Test
    void committedResumeIsNotSentOnceAPromotionBegins() {
        failover.onStatus("a", replica(1, 1, 2));
        assertThat(step(0)).containsExactly(new CommitResumes(0, RESUME_OF_A));
        raiseToken();
        failover.onResumesCommitEnded(RESUME_OF_A, true);
        pendingResumes = RESUME_OF_A;
        concluded = true;
        chosenId = Optional.of("p");

        assertThat(step(0)).doesNotContain(new Resume("a"));
    }

    /** The response to a resume ends it only if no earlier one is without a response. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void resumeIsEndedOnceEachSendHasAResponse(boolean firstNeverCarriedOut, boolean expectedEnd) {
        resumeAWithoutResponse();
        failover.onResumeFailed("a", firstNeverCarriedOut);
        pendingResumes = RESUME_OF_A;
        advance(300);
        failover.onStatus("a", replica(1, 1, 2));
        step(0);
        failover.onResumesCommitEnded(RESUME_OF_A, true);
        assertThat(step(0)).contains(new Resume("a"));
        failover.onResumed("a", replica(1, 1, 0));
        advance(300);

        assertThat(step(0).contains(new EndResumes(RESUME_OF_A))).isEqualTo(expectedEnd);
    }

    /** A pause without a response was carried out after the replica had reported that it receives. */
    @Test
    void replicaIsAskedAgainWhileAPauseMayBeCarriedOutLate() {
        token = 1;
        chosenId = Optional.of("p");
        advance(3_000);

        assertThat(step(0)).containsExactly(new AskStatus("a"), new AskStatus("b"));
    }

    private void resumeAWithoutResponse() {
        failover.onStatus("a", replica(1, 1, 2));
        assertThat(step(0)).contains(new CommitResumes(0, RESUME_OF_A));
        failover.onResumesCommitEnded(RESUME_OF_A, true);
        assertThat(step(0)).contains(new Resume("a"));
    }

    /**
     * Another replica was promoted before a draining primary had answered; a replica that was not registered yet had acknowledged its
     * commits meanwhile (review case 8). A primary that control does not reach is not waited for.
     */
    @ParameterizedTest
    @CsvSource({"true, 100, 1500, false", "true, 100, 1501, true", "false, 100, 0, true", "false, 0, 1500, false"})
    void candidateIsChosenOnlyAfterTheDemotionOfAPrimaryThatControlReaches(
            boolean directProof, long silentMs, long waitedMs, boolean expectedChoice) {
        members = List.of(new MemberView("p", true, true, 0, false, 0), A, B);
        proof = directProof ? Optional.of(new PrimaryProof(new LogPosition(3, 59), clock.millis())) : Optional.empty();
        assertThat(step(directProof ? 0 : 9_000)).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        members = List.of(new MemberView("p", true, true, silentMs, false, 0), A, B);
        advance(waitedMs);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(hasChoice(step(9_000))).isEqualTo(expectedChoice);
    }

    /** An earlier promotion took effect after its successor was concluded, and after the replicas had been resumed by a new leader. */
    @Test
    void newLeaderAwaitsEarlierPromotionsOfAConcludedOne() {
        token = 2;
        chosenId = Optional.of("p");
        unsettledChoices = Set.of("b");
        failover.onStatus("a", replica(1, 1, 2));
        for (int i = 0; i <= 10; i++) {
            assertThat(withoutFencing(step(0))).isEmpty();
            advance(300);
        }

        assertThat(step(0)).containsExactly(new Conclude(2, "p"));
        failover.onLogCommitEnded(true);
        unsettledChoices = Set.of();
        assertThat(step(0)).contains(new CommitResumes(2, RESUME_OF_A));
    }

    /**
     * A new leader demoted the primary while the request of an earlier promotion was pending; the request was carried out 3.5 s later
     * for a database that lacked commits (SyncFailoverHistoriesTest with stopped leaders, 3 databases, 300 ms, seed 1037).
     */
    @ParameterizedTest
    @CsvSource({"600, false", "601, true"})
    void primaryIsGivenTimeToProveItselfWhileAnEarlierPromotionIsPending(long waitedMs, boolean expectedDemotion) {
        token = 7;
        concluded = false;
        chosenId = Optional.of("a");
        step(5_000);
        failover.onLogCommitEnded(true);
        token = 8;
        chosenId = Optional.empty();
        advance(waitedMs);
        failover.onStatus("p", new ReplicaStatus(true, 3, new LogPosition(3, 60), 0));
        failover.onStatus("a", replica(3, 60, 4));

        assertThat(step(5_000).contains(new Demote("p", 5))).isEqualTo(expectedDemotion);
    }

    /**
     * An earlier promotion took effect, and a repeated request of the latest one was carried out 10 s later, which the platform did not
     * reject (SyncFailoverHistoriesTest, 3 databases, 1000 ms, seed 818).
     */
    @Test
    void instanceThatLeadsIsPromotedUnderANewTokenIfAnotherOneWasChosen() {
        token = 3;
        chosenId = Optional.of("b");
        for (int i = 0; i <= 10; i++) {
            step(0);
            advance(300);
        }
        assertThat(step(0)).containsExactly(new RaiseToken(3, Set.of("b")));
        failover.onLogCommitEnded(true);
        token = 4;
        concluded = false;
        chosenId = Optional.empty();
        assertThat(step(300)).isEmpty();
        advance(300);
        assertThat(step(0)).containsExactly(new Choose(4, "p"));
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("p");

        assertThat(step(0)).containsExactly(new Promote(4, "p"));
    }

    /** A database joined and acknowledged for the old primary while the promotion was about to take effect. */
    @Test
    void oldPrimaryThatRespondsDuringTheTakeoverIsDemoted() {
        chooseB();
        step(2_000);
        failover.onPromotionResult(1, true);
        step(2_000);
        failover.onLogCommitEnded(true);
        concluded = true;
        advance(300);
        step(2_000);
        failover.onStatus("p", new ReplicaStatus(true, 3, new LogPosition(3, 60), 0));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(2_000)).contains(new Demote("p", 5));
    }

    /** The proof of one instance confirmed another one that still announced itself as the primary (the same histories, seed 1984). */
    @Test
    void proofOfAnotherInstanceDoesNotConfirmThePrimary() {
        observedPrimaryId = Optional.of("a");
        raiseToken();
        step(1_100);
        advance(500);

        assertThat(hasChoice(step(10))).isFalse();
    }

    @Test
    void rejectedPromotionIsRestartedUnderAHigherToken() {
        chooseB();
        step(2_000);
        failover.onPromotionResult(1, false);
        step(2_100);

        assertThat(step(2_200)).containsExactly(new RaiseToken(1));
    }

    @Test
    void newLeaderRaisesItsOwnToken() {
        token = 7;
        concluded = false;
        chosenId = Optional.of("a");

        assertThat(step(0)).containsExactly(new RaiseToken(7, Set.of("a")));
    }

    /** A replica that only control cannot reach continued to acknowledge commits for its primary. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, true"})
    void silentReplicaIsExcludedOnlyWhileItsAddressRefusesConnections(boolean processEnded, boolean expectedChoice) {
        members = List.of(PRIMARY, new MemberView("a", false, false, 12_500, false, 0), B);
        for (int i = 0; i < 3; i++) {
            if (processEnded) {
                failover.onConnectionRefused("a");
            }
            advance(400);
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("b", replica(3, 50, 0));
            step(0);
        }
        raiseToken();
        if (processEnded) {
            failover.onConnectionRefused("a");
        }
        failover.onStatus("b", replica(3, 50, 4));

        assertThat(hasChoice(step(1_100))).isEqualTo(expectedChoice);
    }

    /**
     * A replica restarted 350 ms after its address had last refused a connection, received and acknowledged, and was left out of the
     * fencing (SyncFailoverHistoriesTest with late commands, 4 databases, 1000 ms, seed 1808).
     */
    @ParameterizedTest
    @CsvSource({"200, true", "350, false"})
    void refusedConnectionCountsOnlyForAShortTime(long refusedAgoMs, boolean expectedChoice) {
        members = List.of(PRIMARY, new MemberView("a", false, false, 12_500, false, 0), B);
        for (int i = 0; i < 3; i++) {
            failover.onConnectionRefused("a");
            advance(400);
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("b", replica(3, 50, 0));
            step(0);
        }
        raiseToken();
        failover.onConnectionRefused("a");
        advance(refusedAgoMs);
        failover.onStatus("b", replica(3, 50, 4));

        assertThat(hasChoice(step(1_100))).isEqualTo(expectedChoice);
    }

    /**
     * A primary restarted between two refused connections, proved that it led, and crashed again. It counted as ended, and a replica was
     * promoted although the only other holder of its commits did not respond (SyncFailoverHistoriesTest with late commands,
     * 4 databases, 1000 ms, seed 291).
     */
    @ParameterizedTest
    @CsvSource({"p, false", "a, true"})
    void refusedConnectionsBeforeAProofDoNotCount(String provenId, boolean expectedChoice) {
        MemberView ended = new MemberView(provenId.equals("p") ? "p" : "old", false, true, 12_500, false, 0);
        members = List.of(ended, A, B);
        observedPrimaryId = Optional.of(provenId);
        for (int i = 0; i < 3; i++) {
            failover.onConnectionRefused(ended.instanceId());
            advance(400);
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("b", replica(3, 50, 0));
            step(0);
        }
        raiseToken();
        failover.onConnectionRefused(ended.instanceId());
        failover.onStatus("b", replica(3, 50, 4));

        assertThat(hasChoice(step(1_100))).isEqualTo(expectedChoice);
    }

    /**
     * One entry that names no running database, announced once a second, became a member that never responds, and no promotion took
     * place after the primary crashed. The entry counts until its address has refused connections for 3 s and another replica covers
     * the primary, unless an incarnation with another start time announces itself.
     */
    @ParameterizedTest
    @CsvSource({"4000, 7, 7, true", "2000, 7, 7, false", "4000, 7, 8, false", "4000, 0, 0, false"})
    void memberThatRefusesConnectionsDoesNotPreventAPromotionForLong(
            long refusedMs, long bornMs, long laterBornMs, boolean expectedChoice) {
        for (long atMs = 0; atMs <= refusedMs; atMs += 100) {
            members = List.of(PRIMARY, A, B, new MemberView("odd", false, false, atMs % 1_000, false, bornMs));
            if (atMs % 300 == 0) {
                failover.onConnectionRefused("odd");
            }
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("a", replica(3, 50, 0));
            failover.onStatus("b", replica(3, 50, 0));
            step(0);
            advance(100);
        }
        members = List.of(PRIMARY, A, B, new MemberView("odd", false, false, 0, false, laterBornMs));
        raiseToken();
        failover.onConnectionRefused("odd");
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 50, 4));

        assertThat(hasChoice(step(1_100))).isEqualTo(expectedChoice);
    }

    /**
     * A member that answered once after it was refused may hold commits alone. So may one that announced itself, whatever the registry holds of
     * its id: the restart of a replica whose id another writer had announced with a later start time went unnoticed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberThatRespondsAfterRefusalsIsFenced(boolean responds) {
        members = List.of(PRIMARY, A, B, new MemberView("late", false, false, 100, false, 7));
        for (long atMs = 0; atMs <= 6_000; atMs += 100) {
            if (atMs == 5_000 && responds) {
                failover.onStatus("late", replica(3, 50, 0));
            } else if (atMs == 5_000) {
                failover.onOutdatedAnnouncement("late");
            } else if (atMs % 300 == 0) {
                failover.onConnectionRefused("late");
            }
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("b", replica(3, 50, 0));
            step(0);
            advance(100);
        }
        raiseToken();
        failover.onConnectionRefused("late");
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 50, 4));

        assertThat(hasChoice(step(1_100))).isFalse();
    }

    /**
     * A replica whose departure was committed but not answered acknowledged commits for 5 s more, and the only other replica,
     * which lacked them, was promoted (review case 1). However long the process runs, its copy is recovered only after its end.
     */
    @ParameterizedTest
    @CsvSource({"true, 60000, -1, false", "true, 60400, 60000, true", "true, 400, 0, true", "false, 400, -1, true"})
    void lostCopyIsRecoveredOnceItsProcessHasEndedAndAReplicaCoversIt(
            boolean departed, long afterMs, long endSeenAtMs, boolean expectedRecovered) {
        lostCopies = List.of(new LostCopy("s", new Address("10.0.0.9", 1), "c", 1, !departed));
        boolean recovered = false;
        for (long atMs = 0; atMs <= afterMs; atMs += 100) {
            proof = Optional.of(new PrimaryProof(new LogPosition(3, 50), clock.millis()));
            failover.onStatus("b", replica(3, atMs == 0 ? 49 : 50, 0));
            if (atMs == endSeenAtMs) {
                failover.onProcessEnded(lostCopies.get(0));
            }
            recovered |= step(0).contains(new Recover(lostCopies));
            advance(100);
        }

        assertThat(recovered).isEqualTo(expectedRecovered);
    }

    /** A new leader has not observed the end that its predecessor observed, and checks for it again until it is certain. */
    @Test
    void endOfADepartedProcessIsCheckedUntilItIsObserved() {
        lostCopies = List.of(new LostCopy("s", new Address("10.0.0.9", 1), "c", 1, false));
        for (int i = 0; i < 3; i++) {
            assertThat(step(0)).contains(new CheckProcessEnd(lostCopies.get(0)));
            advance(300);
        }
        failover.onProcessEnded(lostCopies.get(0));

        assertThat(step(0)).doesNotContain(new CheckProcessEnd(lostCopies.get(0)));
    }

    /** An empty log may be that of an incarnation that is not registered yet, unless it has announced itself since (soak, seed 1). */
    @ParameterizedTest
    @CsvSource({"500, false", "100, true"})
    void emptyReplicaCountsOnceItHasAnnouncedItselfSince(long silentMs, boolean expectedChoice) {
        raiseToken();
        step(1_100);
        failover.onStatus("a", new ReplicaStatus(false, 0, LogPosition.NONE, 4));
        advance(200);
        members = List.of(PRIMARY, new MemberView("a", false, false, silentMs, false, 0), B);
        failover.onStatus("a", new ReplicaStatus(false, 0, LogPosition.NONE, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(hasChoice(step(1_400))).isEqualTo(expectedChoice);
    }

    /**
     * The primary had started again without its log, and was the only member to respond: nothing that responded under the new token had
     * an entry, so that its empty log was taken for that of a new group and promoted.
     */
    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void emptyLogIsNotPromotedInAGroupThatHadEntries(boolean groupHadEntries, boolean expectedChoice) {
        SyncGroupFailover group = new SyncGroupFailover(clock, TIMINGS, 1);
        MemberView restarted = new MemberView("p", false, false, 300, false, 0);
        MemberView ended = new MemberView("b", false, false, 13_000, false, 0);
        members = List.of(restarted, ended);
        proof = Optional.of(
                new PrimaryProof(groupHadEntries ? new LogPosition(3, 50) : LogPosition.NONE, clock.millis()));
        advance(700);
        group.step(snapshot(1_100, 0, false, false));
        group.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        group.step(snapshot(1_100, 0, false, false));
        group.onStatus("p", new ReplicaStatus(false, 0, LogPosition.NONE, 4));
        advance(200);
        group.onStatus("p", new ReplicaStatus(false, 0, LogPosition.NONE, 4));

        assertThat(hasChoice(new ArrayList<>(group.step(snapshot(1_300, 0, false, false)))))
                .isEqualTo(expectedChoice);
    }

    /** The restarted primary was demoted, and no instance could be promoted any more (soak, seed 3001). */
    @Test
    void restartedPrimaryIsNotDemotedWhileItsLogIsUnproven() {
        raiseToken();
        members = List.of(new MemberView("p", false, true, 0, true, 0), A, B);
        lostCopies = List.of(
                new LostCopy("s", new Address("10.0.0.1", 1), "p", 1, true),
                new LostCopy("s", new Address("10.0.0.9", 1), "c", 1, true));
        step(1_100);
        failover.onStatus("p", new ReplicaStatus(true, 1, new LogPosition(1, 95), 0));
        failover.onStatus("a", replica(1, 95, 2));
        failover.onStatus("b", replica(1, 95, 2));
        assertThat(step(1_100)).doesNotContain(new Demote("p", 3));
        advance(100);

        assertThat(step(0)).containsExactly(new Choose(1, "p"), new Conclude(1, "p"));
    }

    /**
     * The primary came back after a crash and was demoted before control had its announcement. Its log then counted as unproven, and with
     * the log of a departed replica two were lost: no instance could be promoted any more (soak, seeds 9201 and 9202).
     */
    @ParameterizedTest
    @CsvSource({"150, false", "50, true"})
    void restartedPrimaryIsNotDemotedBeforeItsAnnouncement(long silentMs, boolean expectedDemotion) {
        raiseToken();
        lostCopies = List.of(new LostCopy("s", new Address("10.0.0.9", 1), "c", 1, false));
        step(1_100);
        failover.onConnectionRefused("p");
        advance(100);
        members = List.of(new MemberView("p", false, true, silentMs, false, 0), A, B);
        failover.onStatus("p", new ReplicaStatus(true, 1, new LogPosition(1, 95), 0));
        failover.onStatus("a", replica(1, 95, 2));
        failover.onStatus("b", replica(1, 95, 2));

        assertThat(step(1_200).contains(new Demote("p", 3))).isEqualTo(expectedDemotion);
    }

    /** A deposed leader used its successor's token as its own (soak, seed 4015). */
    @Test
    void tokenWhoseCommitFailedIsNotUsed() {
        advance(1_001);
        assertThat(step(1_001)).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(false);
        token = 1;
        concluded = false;
        chosenId = Optional.of("b");

        assertThat(step(1_001)).containsExactly(new RaiseToken(1, Set.of("b")));
    }

    @Test
    void primaryConfirmedBeforeAnyPromotionRequestIsKept() {
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 50, 4));
        advance(500);

        assertThat(step(10)).containsExactly(new Choose(1, "p"), new Conclude(1, "p"));
    }

    /** The earlier request was carried out seconds later (SyncFailoverHistoriesTest, 3 databases, seed 52). */
    @Test
    void confirmedPrimaryIsPromotedUnderTheNewTokenWhileAnEarlierRequestMayBePending() {
        token = 7;
        concluded = false;
        chosenId = Optional.of("a");
        step(5_000);
        failover.onLogCommitEnded(true);
        token = 8;
        chosenId = Optional.empty();
        advance(400);
        assertThat(step(10)).containsExactly(new Choose(8, "p"));
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("p");

        assertThat(step(10)).containsExactly(new Promote(8, "p"));
    }

    @Test
    void staleStatusIsRequestedAgain() {
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 50, 4));
        advance(251);
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(1_400)).contains(new AskStatus("a"));
    }

    @Test
    void earlierCandidateIsChosenAgainWhileItQualifies() {
        token = 7;
        concluded = false;
        chosenId = Optional.of("a");
        step(5_000);
        failover.onLogCommitEnded(true);
        token = 8;
        chosenId = Optional.empty();
        step(5_000);
        failover.onStatus("a", replica(3, 60, 4));
        failover.onStatus("b", replica(3, 60, 4));

        assertThat(step(5_000)).containsExactly(new Choose(8, "a"));
    }

    @Test
    void drainingPrimaryIsReplacedWhileItWorks() {
        members = List.of(new MemberView("p", true, true, 100, false, 0), A, B);

        assertThat(step(0)).containsExactly(new RaiseToken(0));
    }

    @Test
    void primaryUnreachableFromManyProxiesIsReplacedWhileItWorks() {
        assertThat(failover.step(snapshot(0, 0, false, true))).containsExactly(new RaiseToken(0));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        advance(400);

        assertThat(step(0)).contains(new AskStatus("a"));
    }

    /** The replicas accepted no connection, so the demotion left no primary (fleetbench run ujaas-core, trouble-1). */
    @Test
    void workingPrimaryIsNotDemotedBeforeACandidateResponds() {
        failover.step(snapshot(0, 0, false, true));
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
        step(0);
        failover.onStatus("p", new ReplicaStatus(true, 3, new LogPosition(3, 60), 0));
        assertThat(step(0)).doesNotContain(new Demote("p", 4));
        advance(1_600);

        assertThat(step(0)).containsExactly(new Choose(1, "p"), new Conclude(1, "p"));
    }

    @Test
    void primaryWhoseAddressRefusesConnectionsIsReplacedSooner() {
        advance(5_000);
        step(0);
        advance(501);
        assertThat(failover.step(snapshot(501, 0, false, false))).isEmpty();
        assertThat(failover.step(snapshot(501, 0, true, false))).containsExactly(new RaiseToken(0));
    }

    @Test
    void newLeaderUsesTheInitialDetectionTimeout() {
        advance(600);
        assertThat(step(Long.MAX_VALUE / 4)).isEmpty();
        advance(1);
        assertThat(step(Long.MAX_VALUE / 4)).containsExactly(new RaiseToken(0));
    }

    @Test
    void primaryWithStalledWritesIsReplaced() {
        assertThat(failover.step(snapshot(100, 1_900, false, false))).isEmpty();
        assertThat(failover.step(snapshot(100, 2_100, false, false))).containsExactly(new RaiseToken(0));
    }

    private void raiseToken() {
        advance(1_001);
        assertThat(step(1_001)).containsExactly(new RaiseToken(0));
        assertThat(step(1_001)).isEmpty();
        failover.onLogCommitEnded(true);
        token = 1;
        concluded = false;
    }

    private void silent(int proxies, int controlMembers, long proxyEndedMs) {
        commitReports = new CommitReports(
                AcknowledgedCommits.NONE,
                false,
                new SilentParties(
                        Collections.nCopies(proxies, new SilentProxy("proxy", 900, proxyEndedMs)),
                        Collections.nCopies(controlMembers, "member")));
    }

    private void chooseB() {
        raiseToken();
        step(1_100);
        failover.onStatus("a", replica(3, 50, 4));
        failover.onStatus("b", replica(3, 60, 4));
        assertThat(step(1_400)).containsExactly(new Choose(1, "b"));
        failover.onLogCommitEnded(true);
        chosenId = Optional.of("b");
    }

    /** The effects other than status requests and pauses, which keep replicas fenced during a promotion. */
    private static List<SyncFailoverEffect> withoutFencing(List<SyncFailoverEffect> effects) {
        return effects.stream()
                .filter(effect -> !(effect instanceof AskStatus || effect instanceof Pause))
                .toList();
    }

    private static boolean hasChoice(List<SyncFailoverEffect> effects) {
        return effects.stream().anyMatch(Choose.class::isInstance);
    }

    private List<SyncFailoverEffect> step(long proofAgeMs) {
        return new ArrayList<>(failover.step(snapshot(proofAgeMs, 0, false, false)));
    }

    private GroupSnapshot snapshot(
            long proofAgeMs, long stalledWriteMs, boolean connectionRefused, boolean unreachableFromProxies) {
        return new GroupSnapshot(
                token,
                chosenId,
                unsettledChoices,
                concluded,
                members,
                lostCopies,
                pendingResumes,
                proof,
                observedPrimaryId,
                proofAgeMs,
                stalledWriteMs,
                connectionRefused,
                unreachableFromProxies,
                commitReports);
    }

    private void advance(long stepMs) {
        clock.advance(Duration.ofMillis(stepMs));
    }

    private static ReplicaStatus replica(long term, long entries, long heldTerm) {
        return new ReplicaStatus(false, term, new LogPosition(term, entries), heldTerm);
    }
}
