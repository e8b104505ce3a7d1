package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The next change of a voter, in one table; a demotion that leaves no responding majority would stop the log for good. */
final class VoterSelectionTest {
    /**
     * Each member is a letter and its silence in milliseconds: V a voter, L a voter that lost its disk, D a voter that departs, S
     * a caught-up standby, N one that lost its disk, J one that has just joined, H one that is held back, B a member that has not
     * caught up. The change is the position of the member, and whether it gains or loses its vote or is recorded without one.
     */
    @ParameterizedTest
    @CsvSource({
        // No standby waits: a silent or departing voter keeps its vote.
        "3, V0 V0 V9000, none",
        "3, V0 V0 D0, none",
        "3, V0 V0 V9000 B0, none",
        "3, V0 V0 V9000 S900, none",
        // A standby takes the place of the longest silent voter.
        "3, V0 V0 V2000 S0, 2 demoted",
        "3, V0 V0 V1999 S0, none",
        "5, V0 V0 V0 V2500 V3000 S0, 4 demoted",
        "3, V0 V0 V2000 H0, none",
        "3, V0 V0 D0 H0, 2 demoted",
        // The other voters that respond would be no majority.
        "3, V0 V3000 V2000 S0, none",
        "3, V0 V600 V2000 S0, none",
        "5, V0 V0 V2500 V2500 V3000 S0, none",
        // A departing voter that is needed does not hold up the substitution of a silent one.
        "3, V0 D0 V3000 S0, 2 demoted",
        "5, V0 V0 D0 V2500 V3000 S0, 4 demoted",
        // Fewer voters than required: a standby is promoted, the one that is not held back first.
        "3, V0 V0 H0 S0, 3 promoted",
        "3, V0 V0 H0, 2 promoted",
        "3, V0 V0 B0, none",
        "3, V0 V0 V0 S0, none",
        // A lost disk comes first.
        "3, V0 L0 V3000 S0, 1 demoted",
        "3, V0 L900 V0 S0, none",
        // A standby that lost its disk could not vote until it receives the record that promotes it.
        "3, V0 V0 N0, 2 recorded",
        "3, V0 V0 N0 S0, 2 recorded",
        "3, V0 V0 N900 S0, 3 promoted",
        "3, V0 V0 J0, 2 promoted"
    })
    void changesOneVoterAtATime(int requiredVoters, String members, String expected) {
        List<VoterSelection.MemberStatus> statuses = new ArrayList<>();
        for (String member : members.split(" ", -1)) {
            statuses.add(status("c" + statuses.size(), member.charAt(0), Long.parseLong(member.substring(1))));
        }
        Membership membership = new Membership(
                statuses.stream().map(VoterSelection.MemberStatus::member).toList());
        String actual = new VoterSelection(VoterPolicy.required(requiredVoters), membership, statuses, 500)
                .nextChange()
                .map(change -> change.memberId().substring(1) + " " + describe(membership, change.membership()))
                .orElse("none");
        assertThat(actual).isEqualTo(expected);
    }

    private static String describe(Membership before, Membership after) {
        int gained = after.voters().size() - before.voters().size();
        return gained > 0 ? "promoted" : gained < 0 ? "demoted" : "recorded";
    }

    private static VoterSelection.MemberStatus status(String id, char kind, long silentMs) {
        boolean voting = kind == 'V' || kind == 'L' || kind == 'D';
        return new VoterSelection.MemberStatus(
                new Member(id, kind == 'J' ? 0 : 1, voting),
                kind == 'L' || kind == 'N' ? 2 : 1,
                silentMs,
                kind != 'B',
                kind == 'D',
                kind == 'H');
    }
}
