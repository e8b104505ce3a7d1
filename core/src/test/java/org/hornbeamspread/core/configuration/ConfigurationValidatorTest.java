package org.hornbeamspread.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** An invalid configuration must be rejected with an error that names the field, so that operators can correct it. */
final class ConfigurationValidatorTest {
    private static final Rank URGENT = new Rank("urgent", 300, 100, 40);
    private static final DatabaseGroup GROUP = new DatabaseGroup("g1", 3, 5, 35);
    private static final Service SERVICE = new Service("ledger", List.of("g1"), 2_000, 1_000);

    static Stream<Arguments> expectedErrors() {
        return Stream.of(
                Arguments.of("", configurationOf(List.of(URGENT), List.of(GROUP), List.of(SERVICE))),
                Arguments.of("ranks: is empty", configurationOf(List.of(), List.of(GROUP), List.of(SERVICE))),
                Arguments.of("groups: is empty", configurationOf(List.of(URGENT), List.of(), List.of(SERVICE))),
                Arguments.of("services: is empty", configurationOf(List.of(URGENT), List.of(GROUP), List.of())),
                Arguments.of("ranks[1].name: 'urgent' is declared twice", ranks(URGENT, URGENT)),
                Arguments.of("ranks[0].name: 'Urgent!' does not match", ranks(new Rank("Urgent!", 300, 1, 1))),
                Arguments.of("ranks[0].name: '' does not match", ranks(new Rank("", 300, 1, 1))),
                Arguments.of("ranks.a.target_ms: 0 is not", ranks(new Rank("a", 0, 1, 1))),
                Arguments.of("ranks.a.worth: 0 is not", ranks(new Rank("a", 1, 0, 1))),
                Arguments.of("ranks.a.guaranteed_share_percent: -1 is not", ranks(new Rank("a", 1, 1, -1))),
                Arguments.of(
                        "ranks.guaranteed_share_percent: the shares add up to 101",
                        ranks(URGENT, new Rank("ledger", 1, 1, 61))),
                Arguments.of("groups[1].name: 'g1' is declared twice", groups(GROUP, GROUP)),
                Arguments.of("groups.g1.databases: 0 is not", groups(new DatabaseGroup("g1", 0, 5, 35))),
                Arguments.of("groups.g1.databases: 10 is not", groups(new DatabaseGroup("g1", 10, 5, 35))),
                Arguments.of("groups.g1.slots_per_database: 0 is not", groups(new DatabaseGroup("g1", 3, 0, 35))),
                Arguments.of("groups.g1.connections_per_database: 0 is not", groups(new DatabaseGroup("g1", 3, 5, 0))),
                Arguments.of(
                        "groups.g1.connections_per_database: fewer connections than slots",
                        groups(new DatabaseGroup("g1", 3, 5, 4))),
                Arguments.of("services.a.groups: unknown group 'g2'", services(List.of("g2"), 0, 1)),
                Arguments.of("services.a.groups: 'g1' is named twice", services(List.of("g1", "g1"), 0, 1)),
                Arguments.of("services.a.groups: is empty", services(List.of(), 0, 1)),
                Arguments.of("services.a.staleness_allowance_ms: -1 is not", services(List.of("g1"), -1, 1)),
                Arguments.of("services.a.default_timeout_ms: 0 is not", services(List.of("g1"), 0, 0)));
    }

    @ParameterizedTest
    @MethodSource("expectedErrors")
    void eachErrorNamesTheFieldAndTheReason(String expectedError, DeclaredConfiguration configuration) {
        Optional<FailureException> failure = ConfigurationValidator.check(configuration);
        assertThat(failure.isPresent()).isEqualTo(!expectedError.isEmpty());
        failure.ifPresent(error -> {
            assertThat(error.type()).isEqualTo(FailureType.INVALID_CONFIGURATION);
            assertThat(error.detail()).startsWith(expectedError);
        });
    }

    private static DeclaredConfiguration configurationOf(
            List<Rank> ranks, List<DatabaseGroup> groups, List<Service> services) {
        return new DeclaredConfiguration(0, ranks, groups, services);
    }

    private static DeclaredConfiguration ranks(Rank... ranks) {
        return configurationOf(List.of(ranks), List.of(GROUP), List.of(SERVICE));
    }

    private static DeclaredConfiguration groups(DatabaseGroup... groups) {
        return configurationOf(List.of(URGENT), List.of(groups), List.of(SERVICE));
    }

    private static DeclaredConfiguration services(List<String> groups, int allowanceMs, int timeoutMs) {
        return configurationOf(
                List.of(URGENT), List.of(GROUP), List.of(new Service("a", groups, allowanceMs, timeoutMs)));
    }
}
