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
 * The databases that announced themselves and have not left.
 *
 * <p>Announcements may be late, and ids and addresses are used again. Within one id they are ordered by (birth, sequence);
 * among ids at one address the latest birth holds it. A departure is remembered for a while, so that a late announcement
 * does not bring a database back. Outcomes depend on the calls alone. Confined to one thread.
 *
 * <p>An incarnation ends when its id is announced with a later birth, when another id is announced at its address, or when it
 * leaves. Its log may have gone with it, so it is kept as a {@link LostCopy} until that is recovered.
 */
public final class InstanceRegistry {
    /** Departures remembered; twice the databases of the largest group that leave at once. */
    private static final int MAX_RETAINED_DEPARTURES = 1_024;

    private final NavigableMap<String, DatabaseInstance> instances = new TreeMap<>();
    private final Deque<Departure> departures = new ArrayDeque<>();

    /** The latest incarnation that ended at each place. */
    private final NavigableMap<ServiceAddress, LostCopy> lostCopies =
            new TreeMap<>(Comparator.comparing(ServiceAddress::service)
                    .thenComparing(place -> place.address().host())
                    .thenComparingInt(place -> place.address().port()));

    /** What an announcement is to the registry. */
    public enum AnnouncementStatus {
        /** Older than what is known; ignored. */
        OUTDATED,
        /** Nothing new but its sequence. */
        UNCHANGED,
        /** Something new. */
        NEW
    }

    /** A database that left; announcements of this birth and older ones are ignored. */
    public record Departure(String instanceId, long bornMs) {}

    /** Compares an announcement to what is known, without taking it. */
    public AnnouncementStatus classify(DatabaseInstance announced) {
        boolean departed = departures.stream()
                .anyMatch(departure -> departure.instanceId().equals(announced.instanceId())
                        && departure.bornMs() >= announced.bornMs());
        if (departed || isAddressHeldByLaterInstance(announced)) {
            return AnnouncementStatus.OUTDATED;
        }
        DatabaseInstance known = instances.get(announced.instanceId());
        if (known == null) {
            return AnnouncementStatus.NEW;
        }
        boolean older = announced.bornMs() < known.bornMs()
                || (announced.bornMs() == known.bornMs() && announced.sequence() < known.sequence());
        if (older) {
            return AnnouncementStatus.OUTDATED;
        }
        return announced.equalsIgnoringSequence(known) ? AnnouncementStatus.UNCHANGED : AnnouncementStatus.NEW;
    }

    /** Takes an announcement unless it is outdated; drops what its address belonged to before. */
    public void announce(DatabaseInstance announced) {
        if (classify(announced) == AnnouncementStatus.OUTDATED) {
            return;
        }
        List<DatabaseInstance> ended = instances.values().stream()
                .filter(known -> isEndedBy(known, announced))
                .toList();
        ended.forEach(known -> {
            instances.remove(known.instanceId());
            addLostCopy(LostCopy.of(known));
        });
        instances.put(announced.instanceId(), announced);
    }

    /** Drops a database, unless a later incarnation of it is known. */
    public void depart(Departure departure) {
        DatabaseInstance known = instances.get(departure.instanceId());
        if (known != null && known.bornMs() <= departure.bornMs()) {
            instances.remove(departure.instanceId());
            addLostCopy(LostCopy.of(known));
        }
        departures.addLast(departure);
        if (departures.size() > MAX_RETAINED_DEPARTURES) {
            departures.removeFirst();
        }
    }

    /** The database of an id. */
    public Optional<DatabaseInstance> find(String instanceId) {
        return Optional.ofNullable(instances.get(instanceId));
    }

    /** All databases, in order of their ids. */
    public Collection<DatabaseInstance> all() {
        return List.copyOf(instances.values());
    }

    /** The remembered departures, oldest first. */
    public List<Departure> departures() {
        return List.copyOf(departures);
    }

    /** The incarnations that ended and are not recovered, in order of service and address: the latest of each address. */
    public List<LostCopy> lostCopies() {
        return List.copyOf(lostCopies.values());
    }

    /** Drops exactly these; a later incarnation that ended at the same address stays. */
    public void markRecovered(Collection<LostCopy> recovered) {
        lostCopies.values().removeAll(recovered);
    }

    /** Replaces everything. */
    public void restore(Collection<DatabaseInstance> known, Collection<Departure> departed, Collection<LostCopy> lost) {
        instances.clear();
        known.forEach(instance -> instances.put(instance.instanceId(), instance));
        departures.clear();
        departures.addAll(departed);
        lostCopies.clear();
        lost.forEach(this::addLostCopy);
    }

    private void addLostCopy(LostCopy copy) {
        lostCopies.merge(
                new ServiceAddress(copy.service(), copy.address()),
                copy,
                (present, ended) -> ended.bornMs() < present.bornMs() ? present : ended);
    }

    /** Whether what is known has ended when this announcement is taken: it started again, or another has its address. */
    private static boolean isEndedBy(DatabaseInstance known, DatabaseInstance announced) {
        return known.instanceId().equals(announced.instanceId())
                ? known.bornMs() < announced.bornMs()
                : known.address().equals(announced.address());
    }

    private boolean isAddressHeldByLaterInstance(DatabaseInstance announced) {
        return instances.values().stream()
                .anyMatch(other -> !other.instanceId().equals(announced.instanceId())
                        && other.address().equals(announced.address())
                        && other.bornMs() > announced.bornMs());
    }

    /** An address of a service. */
    private record ServiceAddress(String service, Address address) {}
}
