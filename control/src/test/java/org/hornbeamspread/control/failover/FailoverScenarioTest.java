package org.hornbeamspread.control.failover;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.hornbeamspread.core.failover.GroupRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class FailoverScenarioTest {
    private static final Duration START_LIMIT = Duration.ofSeconds(3);

    private final ControlFixture control = new ControlFixture();

    @BeforeEach
    void start() {
        control.runUntilOpen(1, START_LIMIT);
        control.run(Duration.ofSeconds(2));
    }

    @Test
    void aFreshGroupHasOnePrimaryAndItsReplicasFollow() {
        assertThat(control.record().term()).isEqualTo(1);
        assertThat(control.primary().isPrimary(1)).isTrue();
        assertThat(control.replicas().allMatch(replica -> replica.followedTerm == 1))
                .isTrue();
        assertThat(control.proxies.stream()
                        .allMatch(proxy ->
                                proxy.writableTerm(ControlFixture.GROUP).isPresent()))
                .isTrue();
        assertThat(control.appended.stream().map(GroupRecord::term)).containsExactly(1L, 1L, 1L);
    }
}
