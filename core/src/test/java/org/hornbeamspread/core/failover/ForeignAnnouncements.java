package org.hornbeamspread.core.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.route.DatabaseInstance;
import org.hornbeamspread.core.route.InstanceRegistry.Departure;

/**
 * Announcements and departures of another writer, which name databases of a {@link SimulatedGroup} or none. Each has any id, service,
 * address, role and start time, and comes once or repeatedly; some come for all databases at once.
 */
final class ForeignAnnouncements {
    private static final int MEAN_INTERVAL_STEPS = 60;
    private static final int MEAN_DEPARTURE_INTERVAL_STEPS = 300;
    private static final int MAX_REPETITIONS = 60;
    private static final long FAR_FUTURE_MS = 4_000_000_000_000L;
    private static final int NOBODYS_ADDRESS = 200;

    private final Random random;

    /** Announcements to repeat, at random steps. */
    private final List<Repeated> repeated = new ArrayList<>();

    private int idCount;

    ForeignAnnouncements(Random random) {
        this.random = random;
    }

    /** The announcements that arrive in this step. */
    List<DatabaseInstance> next(List<SimulatedDatabase> databases, long nowMs) {
        List<DatabaseInstance> announced = new ArrayList<>();
        if (random.nextInt(MEAN_INTERVAL_STEPS) == 0) {
            int count = random.nextInt(4) == 0 ? databases.size() : 1;
            for (int i = 0; i < count; i++) {
                SimulatedDatabase named = databases.get(count > 1 ? i : random.nextInt(databases.size()));
                DatabaseInstance drawn = draw(named, databases, nowMs);
                announced.add(drawn);
                if (random.nextInt(3) == 0) {
                    repeated.add(new Repeated(drawn, 1 + random.nextInt(MAX_REPETITIONS)));
                }
            }
        }
        for (Repeated each : List.copyOf(repeated)) {
            if (random.nextInt(10) == 0) {
                repeated.remove(each);
                if (each.remaining() > 1) {
                    repeated.add(new Repeated(later(each.announced()), each.remaining() - 1));
                }
                announced.add(each.announced());
            }
        }
        return announced;
    }

    /** A departure that no database sent, with a start time or without. */
    Optional<Departure> nextDeparture(List<SimulatedDatabase> databases) {
        if (random.nextInt(MEAN_DEPARTURE_INTERVAL_STEPS) > 0) {
            return Optional.empty();
        }
        SimulatedDatabase named = databases.get(random.nextInt(databases.size()));
        return Optional.of(new Departure(named.id, random.nextBoolean() ? named.bornMs : Departure.EVERY_INCARNATION));
    }

    private DatabaseInstance draw(SimulatedDatabase named, List<SimulatedDatabase> databases, long nowMs) {
        String id = random.nextInt(3) == 0 ? named.id : "f" + idCount++;
        Address address = switch (random.nextInt(4)) {
            case 0 -> SimulatedDatabase.address(NOBODYS_ADDRESS);
            case 1 -> databases.get(random.nextInt(databases.size())).address();
            default -> named.address();
        };
        long bornMs = switch (random.nextInt(4)) {
            case 0 -> named.bornMs;
            case 1 -> FAR_FUTURE_MS;
            case 2 -> 1;
            default -> nowMs;
        };
        long sequence = random.nextBoolean() ? 1 : 1_000_000;
        return new DatabaseInstance(
                id,
                random.nextInt(3) == 0 ? "other" : SimulatedDatabase.SERVICE,
                address,
                "domain",
                2,
                random.nextInt(4) == 0,
                random.nextInt(3) == 0,
                bornMs,
                sequence);
    }

    private static DatabaseInstance later(DatabaseInstance announced) {
        return new DatabaseInstance(
                announced.instanceId(),
                announced.service(),
                announced.address(),
                announced.failureDomain(),
                announced.slots(),
                announced.draining(),
                announced.primary(),
                announced.bornMs(),
                announced.sequence() + 1);
    }

    private record Repeated(DatabaseInstance announced, int remaining) {}
}
