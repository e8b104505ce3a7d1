package org.hornbeamspread.core.failover;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The most advanced log must be selected; among equal logs, a database in the region with the most live members. */
final class PrimarySelectorTest {
    private static final long TERM = 5;

    /** For databases a, b and c: the last log index at term 4, the regions, the suspected one, the valid choices. */
    @ParameterizedTest
    @CsvSource({
        "7 7 7, west east east, '', b c",
        "7 7 7, east west east, '', a c",
        "9 7 7, west east east, '', a",
        "9 9 7, west east east, '', b",
        "7 7 7, west east east, c, a b",
        "7 9 9, east west west, '', b c",
        "7 8 9, '', '', c",
    })
    void mostAdvancedLogIsPreferredThenTheRegionWithMostMembers(
            String positions, String regions, String suspectedId, String expected) {
        String[] indexes = positions.split(" ", -1);
        List<DatabaseStatus> statuses = new ArrayList<>();
        Map<String, Registration> registrations = new HashMap<>();
        for (int i = 0; i < indexes.length; i++) {
            DatabaseStatus status = status("abc".substring(i, i + 1), Long.parseLong(indexes[i]));
            statuses.add(status);
            registrations.put(status.databaseId(), new Registration(status.databaseId(), 1, true));
        }
        Map<String, Long> suspected = suspectedId.isEmpty() ? Map.of() : Map.of(suspectedId, 700L);
        FailoverInput input = new FailoverInput(
                new GroupRecord("g", TERM, Optional.empty(), false),
                indexes.length,
                statuses,
                registrations,
                suspected,
                Set.of(),
                regions(regions),
                () -> true);
        Optional<DatabaseStatus> chosen = new PrimarySelector(new SafePromotionRules()).choose(input, statuses);
        assertThat(expected.split(" ", -1))
                .asList()
                .contains(chosen.orElseThrow().databaseId());
    }

    private static Map<String, String> regions(String names) {
        Map<String, String> regions = new HashMap<>();
        String[] parts = names.split(" ", -1);
        for (int i = 0; i < parts.length && !names.isEmpty(); i++) {
            regions.put("abc".substring(i, i + 1), parts[i]);
        }
        return regions;
    }

    private static DatabaseStatus status(String databaseId, long indexEntries) {
        return new DatabaseStatus(
                databaseId,
                1,
                TERM,
                DatabaseRole.REPLICA,
                TERM - 1,
                new LogPosition(TERM - 1, indexEntries),
                Optional.empty(),
                true);
    }
}
