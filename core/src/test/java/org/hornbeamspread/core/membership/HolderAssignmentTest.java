package org.hornbeamspread.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against two holders of one database at the same time, which could together exceed its connection limit, and
 * against needless reassignments when a proxy leaves.
 */
final class HolderAssignmentTest {
    private static final int DATABASES = 1000;

    /** Order of preference: the database's failure domain, its region, any proxy. Draining proxies are excluded. */
    @ParameterizedTest
    @CsvSource({
        "bole|piassa|sabian, bole",
        "piassa|sabian, piassa",
        "sabian, sabian",
        "-bole|sabian, sabian",
        "-bole, none"
    })
    void theNearestProxyThatIsNotDrainingIsSelected(String proxyNames, String expectedHolder) {
        List<LiveProxy> proxies = new ArrayList<>();
        for (String name : proxyNames.split("\\|", -1)) {
            String domain = name.replace("-", "");
            String region = domain.equals("sabian") ? "dire-dawa" : "addis";
            proxies.add(proxy(domain, domain, region, name.startsWith("-")));
        }
        Optional<String> selected = new HolderCandidates(proxies).selectHolder(database("d1"));
        assertThat(selected.orElse("none")).isEqualTo(expectedHolder);
    }

    @Test
    void removingAProxyReassignsOnlyTheDatabasesThatItHeld() {
        List<LiveProxy> proxies = new ArrayList<>(IntStream.range(0, 8)
                .mapToObj(i -> proxy("p" + i, "bole", "addis", false))
                .toList());
        HolderCandidates before = new HolderCandidates(proxies);
        proxies.remove(3);
        HolderCandidates after = new HolderCandidates(proxies);
        int held = 0;
        for (int i = 0; i < DATABASES; i++) {
            Optional<String> holder = before.selectHolder(database("d" + i));
            if (holder.equals(Optional.of("p3"))) {
                held++;
            } else {
                assertThat(after.selectHolder(database("d" + i))).isEqualTo(holder);
            }
        }
        assertThat(held).isGreaterThan(DATABASES / 16);
        assertThat(held).isLessThan(DATABASES / 4);
    }

    @Test
    void aNewHolderIsAssignedOnlyAfterThePreviousHolderReleasedTheDatabase() {
        HolderAssignment assignment = new HolderAssignment(1);
        AnnouncedDatabase database = database("d1");
        HolderCandidates first = new HolderCandidates(List.of(proxy("p1", "bole", "addis", false)));
        HolderCandidates second = new HolderCandidates(List.of(proxy("p2", "bole", "addis", false)));
        assertThat(assignment.reconcile(database, first, 1, (id, version) -> true, true))
                .isTrue();
        long epoch = assignment.epoch("d1");
        assertThat(assignment.reconcile(database, second, 2, (id, version) -> false, true))
                .isTrue();
        assertThat(assignment.holder("d1")).isEqualTo(Optional.empty());
        assertThat(assignment.reconcile(database, second, 3, (id, version) -> version > 2, true))
                .isFalse();
        assertThat(assignment.reconcile(database, second, 3, (id, version) -> version <= 2, true))
                .isTrue();
        assertThat(assignment.holder("d1")).isEqualTo(Optional.of("p2"));
        assertThat(assignment.epoch("d1")).isGreaterThan(epoch);
        assertThat(new HolderAssignment(2).epoch("d1")).isEqualTo(0);
    }

    private static LiveProxy proxy(String id, String domain, String region, boolean draining) {
        Address address = new Address("127.0.0.1", 1);
        return new LiveProxy(id, domain, region, address, address, 1, draining, 1);
    }

    private static AnnouncedDatabase database(String id) {
        DatabaseStatus status =
                new DatabaseStatus(id, 1, 0, DatabaseRole.REPLICA, 0, LogPosition.NONE, Optional.empty(), true);
        return new AnnouncedDatabase("g", new Address("127.0.0.1", 1), "bole", "addis", 5, 35, false, status);
    }
}
