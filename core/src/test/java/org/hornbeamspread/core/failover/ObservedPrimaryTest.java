package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An entry of another writer that claimed to be the primary was probed in its place, and the working primary was replaced. */
final class ObservedPrimaryTest {
    @ParameterizedTest
    @CsvSource({
        "'', '', odd",
        "'', p, p",
        "'', a, odd",
        "a, '', a",
        "a, p, a",
        "gone, p, p",
    })
    void thePromotedOrProvenInstanceIsPreferred(String promotedId, String provenId, String expectedId) {
        List<DatabaseInstance> members = List.of(instance("a", false), instance("odd", true), instance("p", true));

        assertThat(ObservedPrimary.select(members, promotedId, provenId, Map.of("a", 900L, "odd", 900L, "p", 100L))
                        .map(DatabaseInstance::instanceId))
                .hasValue(expectedId);
    }

    private static DatabaseInstance instance(String id, boolean primary) {
        return new DatabaseInstance(id, "ledger", new Address("10.0.0.1", 1), "domain", 2, false, primary, 1, 1);
    }
}
