package org.hornbeamspread.core.route;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.hornbeamspread.core.membership.Address;

/**
 * The registry of the databases that have announced themselves and have not departed.
 *
 * <p>Announcements may be delayed, and ids and addresses are reused. Announcements of one id are ordered by (start
 * time, sequence); among several ids at one address, the one with the latest start time holds the address. A number of
 * recent departures is retained, so that a delayed announcement does not add a departed database again. Results depend
 * only on the sequence of calls, not on a clock. Confined to one thread.
 *
 * <p>An incarnation ends when its id is announced with a later start time, when another id is announced at its address,
 * or when it departs. Its log may be lost with it, so it is retained as a {@link LostCopy} until that copy is
 * recovered.
 */
public final class InstanceRegistry {
    /** Limit on retained departures: twice the number of databases that depart simultaneously in the largest group. */
    private static final int MAX_RETAINED_DEPARTURES = 1_024;

    private final NavigableMap<String, DatabaseInstance> instances = new TreeMap<>();
    private final Deque<Departure> departures = new ArrayDeque<>();

    /** The latest ended incarnation at each address of a service. */
    private final NavigableMap<ServiceAddress, LostCopy> lostCopies =
            new TreeMap<>(Comparator.comparing(ServiceAddress::service)
                    .thenComparing(location -> location.address().host())
                    .thenComparingInt(location -> location.address().port()));

    /** The status of an announcement relative to the registry. */
    public enum AnnouncementStatus {
        /** Older than the registered state; ignored. */
        OUTDATED,
        /** Differs only by its sequence. */
        UNCHANGED,
        /** An unregistered database, or changed values of a registered one. */
        NEW
    }

    /**
     * A departed database. Announcements of its id with this start time or an earlier one are ignored.
     *
     * @param bornMs the start time of the process; {@link #EVERY_INCARNATION} for the registered incarnation, whichever it is
     */
    public record Departure(String instanceId, long bornMs) {
        /** The start time of a departure that does not state one. */
        public static final long EVERY_INCARNATION = Long.MAX_VALUE;
    }

    /** Compares an announcement to the registered state without applying it. */
    public AnnouncementStatus classify(DatabaseInstance announced) {
        boolean departed = departures.stream()
                .anyMatch(departure -> departure.instanceId().equals(announced.instanceId())
                        && departure.bornMs() >= announced.bornMs());
        if (departed || isAddressHeldByLaterInstance(announced)) {
            return AnnouncementStatus.OUTDATED;
        }
        DatabaseInstance registered = instances.get(announced.instanceId());
        if (registered == null) {
            return AnnouncementStatus.NEW;
        }
        boolean older = announced.bornMs() < registered.bornMs()
                || (announced.bornMs() == registered.bornMs() && announced.sequence() < registered.sequence());
        if (older) {
            return AnnouncementStatus.OUTDATED;
        }
        return announced.equalsIgnoringSequence(registered) ? AnnouncementStatus.UNCHANGED : AnnouncementStatus.NEW;
    }

    /** Applies an announcement unless it is outdated; removes the database that held its address before. */
    public void announce(DatabaseInstance announced) {
        if (classify(announced) == AnnouncementStatus.OUTDATED) {
            return;
        }
        List<DatabaseInstance> ended = instances.values().stream()
                .filter(registered -> isEndedBy(registered, announced))
                .toList();
        ended.forEach(registered -> {
            instances.remove(registered.instanceId());
            addLostCopy(LostCopy.of(registered));
        });
        instances.put(announced.instanceId(), announced);
    }

    /**
     * Removes a database unless a later incarnation of it is registered; retains the departure in either case. A departure without a
     * start time applies to the registered incarnation only, since the id may start again.
     */
    public void depart(Departure stated) {
        DatabaseInstance registered = instances.get(stated.instanceId());
        Departure departure = stated;
        if (stated.bornMs() > DatabaseInstance.MAX_BORN_MS) {
            if (registered == null) {
                return;
            }
            departure = new Departure(stated.instanceId(), registered.bornMs());
        }
        if (registered != null && registered.bornMs() <= departure.bornMs()) {
            instances.remove(departure.instanceId());
            addLostCopy(LostCopy.of(registered));
        }
        departures.addLast(departure);
        if (departures.size() > MAX_RETAINED_DEPARTURES) {
            departures.removeFirst();
        }
    }

    /** Returns the registered database with the given id. */
    public Optional<DatabaseInstance> find(String instanceId) {
        return Optional.ofNullable(instances.get(instanceId));
    }

    /** All registered databases, ordered by id. */
    public Collection<DatabaseInstance> all() {
        return List.copyOf(instances.values());
    }

    /** The retained departures, oldest first. */
    public List<Departure> departures() {
        return List.copyOf(departures);
    }

    /** The ended incarnations that are not recovered, ordered by service and address: the latest of each address. */
    public List<LostCopy> lostCopies() {
        return List.copyOf(lostCopies.values());
    }

    /** Whether a later incarnation has the id or the address of a lost copy, so that the process of the copy has ended. */
    public boolean hasSuccessor(LostCopy copy) {
        return instances.values().stream()
                .filter(instance -> instance.bornMs() > copy.bornMs())
                .anyMatch(instance -> instance.instanceId().equals(copy.instanceId())
                        || instance.address().equals(copy.address()));
    }

    /** Removes exactly these lost copies; that of a later incarnation that ended at the same address stays. */
    public void markRecovered(Collection<LostCopy> recovered) {
        lostCopies.values().removeAll(recovered);
    }

    /** Replaces the whole state of the registry. */
    public void restore(
            Collection<DatabaseInstance> registered, Collection<Departure> departed, Collection<LostCopy> lost) {
        instances.clear();
        registered.forEach(instance -> instances.put(instance.instanceId(), instance));
        departures.clear();
        departures.addAll(departed);
        lostCopies.clear();
        lost.forEach(this::addLostCopy);
    }

    private void addLostCopy(LostCopy copy) {
        lostCopies.merge(
                new ServiceAddress(copy.service(), copy.address()),
                copy,
                (retained, ended) -> ended.bornMs() < retained.bornMs() ? retained : ended);
    }

    /**
     * Whether an announcement ends a registered incarnation: its id has restarted, or another id has taken its address.
     */
    private static boolean isEndedBy(DatabaseInstance registered, DatabaseInstance announced) {
        return registered.instanceId().equals(announced.instanceId())
                ? registered.bornMs() < announced.bornMs()
                : registered.address().equals(announced.address());
    }

    private boolean isAddressHeldByLaterInstance(DatabaseInstance announced) {
        return instances.values().stream()
                .anyMatch(other -> !other.instanceId().equals(announced.instanceId())
                        && other.address().equals(announced.address())
                        && other.bornMs() > announced.bornMs());
    }

    /** A database address within a service. */
    private record ServiceAddress(String service, Address address) {}
}
