package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.CommitReport;
import org.hornbeamspread.protocol.schema.SealedService;
import org.hornbeamspread.transport.Envelopes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A report that is dropped lets control promote a database that lacks an acknowledged commit; one that is kept although the commit is known to be
 * lost withholds every promotion.
 */
final class ReportedCommitsTest {
    private final ReportedCommits commits = new ReportedCommits();

    /** Reports don't name their proxy: one that is killed after its report has still acknowledged the commit. */
    @Test
    void latestOfAllReportsCounts() {
        report(3, 50, 52, 1_000);
        report(3, 48, 60, 1_001);
        report(2, 90, 90, 1_002);

        assertThat(commits.acknowledged("ledger")).isEqualTo(acknowledged(3, 50, 60));
        assertThat(commits.acknowledged("orders")).isEqualTo(AcknowledgedCommits.NONE);
        commits.onLeadershipGained();
        assertThat(commits.acknowledged("ledger")).isEqualTo(acknowledged(3, 50, 60));
    }

    /** A proof that was requested before the report came may be older than the commit. */
    @ParameterizedTest
    @CsvSource({"999, false", "1000, false", "1001, true"})
    void onlyAProofThatWasRequestedAfterTheReportShowsACommitMissing(long requestedAtMs, boolean missing) {
        report(3, 50, 52, 1_000);

        assertThat(commits.onProof("ledger", new LogPosition(3, 49), requestedAtMs))
                .isEqualTo(missing ? Optional.of(new LogPosition(3, 50)) : Optional.empty());
        assertThat(commits.acknowledged("ledger"))
                .isEqualTo(missing ? AcknowledgedCommits.NONE : acknowledged(3, 50, 52));
    }

    /** Only the lower bound was certainly acknowledged; the rest may be entries that no replica has received. */
    @Test
    void aPrimaryWithTheLowerBoundLacksNothing() {
        report(3, 50, 52, 1_000);

        assertThat(commits.onProof("ledger", new LogPosition(3, 50), 2_000)).isEmpty();
        assertThat(commits.acknowledged("ledger")).isEqualTo(acknowledged(3, 50, 52));
    }

    /** Proxies report what they acknowledged again under each seal: a commit that was lost must not withhold all later promotions. */
    @Test
    void aCommitKnownToBeMissingIsNotReportedAgain() {
        report(3, 50, 52, 1_000);
        commits.onProof("ledger", new LogPosition(3, 40), 2_000);
        report(3, 50, 52, 3_000);
        assertThat(commits.acknowledged("ledger")).isEqualTo(AcknowledgedCommits.NONE);
        assertThat(commits.onProof("ledger", new LogPosition(3, 41), 4_000)).isEmpty();

        report(4, 42, 43, 5_000);
        assertThat(commits.acknowledged("ledger")).isEqualTo(acknowledged(4, 42, 43));
    }

    @Test
    void aCommitThatTheLeadingPrimaryHasCountsAgain() {
        report(3, 50, 52, 1_000);
        commits.onProof("ledger", new LogPosition(3, 40), 2_000);
        commits.onProof("ledger", new LogPosition(3, 45), 3_000);
        report(3, 44, 45, 4_000);

        assertThat(commits.acknowledged("ledger")).isEqualTo(acknowledged(3, 44, 45));
    }

    @Test
    void sealsChangeOnlyWhenTheyDiffer() {
        Seal seal = new Seal(4, 3);
        assertThat(commits.seal("ledger", Optional.empty())).isFalse();
        assertThat(commits.seal("ledger", Optional.of(seal))).isTrue();
        assertThat(commits.seal("ledger", Optional.of(seal))).isFalse();
        assertThat(commits.seals())
                .containsExactly(SealedService.newBuilder()
                        .setService("ledger")
                        .setFencingToken(4)
                        .setLogTerm(3)
                        .build());
        assertThat(commits.seal("ledger", Optional.of(new Seal(4, 5)))).isTrue();
        assertThat(commits.seal("ledger", Optional.empty())).isTrue();
        assertThat(commits.hasSeals()).isFalse();
    }

    /** Seals of an earlier leadership of this member refer to tokens that others may have settled since. */
    @Test
    void sealsOfAnEarlierLeadershipAreDropped() {
        commits.seal("ledger", Optional.of(new Seal(4, 3)));
        commits.onLeadershipGained();

        assertThat(commits.seals()).isEmpty();
        assertThat(commits.hasSeals()).isFalse();
    }

    private void report(long term, long certain, long possible, long receivedAtMs) {
        commits.onReport(
                CommitReport.newBuilder()
                        .setService("ledger")
                        .setCertain(Envelopes.position(new LogPosition(term, certain)))
                        .setPossible(Envelopes.position(new LogPosition(term, possible)))
                        .build(),
                receivedAtMs);
    }

    private static AcknowledgedCommits acknowledged(long term, long certain, long possible) {
        return new AcknowledgedCommits(new LogPosition(term, certain), new LogPosition(term, possible));
    }
}
