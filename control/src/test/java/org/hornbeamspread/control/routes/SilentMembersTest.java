package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The first announcement of a database waited for a control member that stood still, and a promotion was decided without it (issue 56). */
final class SilentMembersTest {
    private final ManualClock clock = new ManualClock();
    private final SilentMembers members = new SilentMembers("self", clock);

    SilentMembersTest() {
        clock.advance(Duration.ofSeconds(10));
    }

    @ParameterizedTest
    @CsvSource({"400, false", "401, true"})
    void memberThatDoesNotRespondIsSilent(long silentMs, boolean silent) {
        members.update(List.of(member("self", 0), member("b", silentMs), member("c", 20)));

        assertThat(members.ids()).isEqualTo(silent ? List.of("b") : List.of());
    }

    /** Its callers may still wait, and the next ones have an old list of members. */
    @ParameterizedTest
    @CsvSource({"true, 4000, true", "true, 4001, false", "false, 4000, true", "false, 4001, false"})
    void memberThatRespondsAgainOrIsReplacedCountsForSomeTime(boolean listed, long afterMs, boolean silent) {
        members.update(List.of(member("b", 900)));
        clock.advance(Duration.ofMillis(afterMs));
        members.update(listed ? List.of(member("b", 0)) : List.of());

        assertThat(members.ids()).isEqualTo(silent ? List.of("b") : List.of());
    }

    /** No member accepts announcements before the leader is elected. */
    @ParameterizedTest
    @CsvSource({"1000, true", "1001, false"})
    void newLeaderCountsItselfForTheTimeOfAnElection(long leaderMs, boolean silent) {
        members.onLeadershipGained();
        clock.advance(Duration.ofMillis(leaderMs));

        assertThat(members.ids()).isEqualTo(silent ? List.of("self") : List.of());
    }

    private static ControlMember member(String id, long silentMs) {
        return ControlMember.newBuilder().setMemberId(id).setSilentMs(silentMs).build();
    }
}
