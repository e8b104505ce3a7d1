package org.hornbeamspread.core.route;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.hornbeamspread.core.membership.Address;

/**
 * The registry of the databases that have announced themselves and have not departed.
 *
 * <p>An announcement is a claim: it may be delayed, and other writers may send one. It can add an instance, but it can't end another one.
 * Several ids may therefore be registered at one address, until it is observed which of them responds there ({@link #end}).
 * Announcements of one id are ordered by (start time, sequence). An announcement of a service that no configuration has named is
 * ignored. A number of recent departures is retained, so that a delayed announcement does not add a departed database again.
 * Results depend only on the sequence of calls, not on a clock. Confined to one thread.
 *
 * <p>An incarnation that is no longer registered is retained as a {@link LostCopy} until that copy is recovered. Its process is known to
 * have ended if another instance was observed at its address, or if a later start of its id is registered at the same address, so
 * that this one is whoever responds there.
 */
public final class InstanceRegistry {
    /** Limit on retained departures: twice the number of databases that depart simultaneously in the largest group. */
    private static final int MAX_RETAINED_DEPARTURES = 1_024;

    private final NavigableMap<String, DatabaseInstance> instances = new TreeMap<>();
    private final Deque<Departure> departures = new ArrayDeque<>();

    /** The lost copy of each id at an address of a service: of the incarnations whose process has ended, and of the others. */
    private final NavigableMap<CopyKey, LostCopy> lostCopies = new TreeMap<>(Comparator.comparing(CopyKey::service)
            .thenComparing(key -> key.address().host())
            .thenComparingInt(key -> key.address().port())
            .thenComparing(CopyKey::instanceId)
            .thenComparing(CopyKey::processEnded));

    /** The services whose databases are registered; empty before the first configuration, when those of every service are. */
    private final NavigableSet<String> namedServices = new TreeSet<>();

    /** The status of an announcement relative to the registry. */
    public enum AnnouncementStatus {
        /** Of a service that no configuration has named; ignored. */
        UNNAMED_SERVICE,
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

    /**
     * Applies the services of a configuration. A service that is no longer named stays in the registry while it has instances or lost copies,
     * since a later configuration may name it again. The first configuration removes the instances of all other services: no
     * client has reached them.
     */
    public void nameServices(Collection<String> configured) {
        if (namedServices.isEmpty()) {
            instances.values().removeIf(instance -> !configured.contains(instance.service()));
            lostCopies.values().removeIf(copy -> !configured.contains(copy.service()));
        }
        namedServices.retainAll(servicesInUse());
        namedServices.addAll(configured);
    }

    /** Compares an announcement to the registered state without applying it. */
    public AnnouncementStatus classify(DatabaseInstance announced) {
        if (!namedServices.isEmpty() && !namedServices.contains(announced.service())) {
            return AnnouncementStatus.UNNAMED_SERVICE;
        }
        boolean departed = departures.stream()
                .anyMatch(departure -> departure.instanceId().equals(announced.instanceId())
                        && departure.bornMs() >= announced.bornMs());
        if (departed) {
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

    /** The registered instances that an announcement contradicts: its id at another place, and other ids at its address. */
    public List<DatabaseInstance> contradictedBy(DatabaseInstance announced) {
        return instances.values().stream()
                .filter(registered -> registered.instanceId().equals(announced.instanceId())
                        ? !isAtSamePlace(registered, announced)
                        : registered.address().equals(announced.address()))
                .toList();
    }

    /** The instances whose address is registered for another instance too. */
    public List<DatabaseInstance> withSharedAddress() {
        Map<Address, Long> counts = instances.values().stream()
                .collect(Collectors.groupingBy(DatabaseInstance::address, Collectors.counting()));
        return instances.values().stream()
                .filter(instance -> counts.get(instance.address()) > 1)
                .toList();
    }

    /** Applies an announcement unless it is outdated or of an unnamed service. */
    public void announce(DatabaseInstance announced) {
        AnnouncementStatus status = classify(announced);
        if (status == AnnouncementStatus.NEW || status == AnnouncementStatus.UNCHANGED) {
            put(announced, false);
        }
    }

    /**
     * Registers an instance that was observed to run, although a departure of its id or a later announcement has been applied: they came from
     * another writer. A later start that was announced at its place has not taken place, so that no copy was lost with it.
     *
     * @param displacedBornMs the start time of the incarnation that was registered when the running one was observed; empty if the id had
     *     departed. The call has no effect if that has changed
     */
    public void reinstate(DatabaseInstance running, OptionalLong displacedBornMs) {
        DatabaseInstance displaced = instances.get(running.instanceId());
        boolean changed = displaced == null
                ? displacedBornMs.isPresent()
                : !displacedBornMs.equals(OptionalLong.of(displaced.bornMs()));
        if (changed || classify(running) == AnnouncementStatus.UNNAMED_SERVICE) {
            return;
        }
        if (displaced != null && isAtSamePlace(displaced, running)) {
            instances.remove(running.instanceId());
            dropStartsSince(running);
        }
        departures.removeIf(departure ->
                departure.instanceId().equals(running.instanceId()) && departure.bornMs() >= running.bornMs());
        put(running, true);
    }

    /** Removes exactly this incarnation, whose process was observed to have ended; a lost copy of it is marked. */
    public void end(LostCopy ended) {
        DatabaseInstance registered = instances.get(ended.instanceId());
        if (registered != null && ended.isCopyOf(registered)) {
            instances.remove(ended.instanceId());
            addLostCopy(LostCopy.of(registered, true));
        }
        LostCopy running = lostCopies.get(CopyKey.of(ended, false));
        if (running != null && running.bornMs() <= ended.bornMs()) {
            markEnded(running);
        }
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
            addLostCopy(LostCopy.of(registered, false));
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

    /** The copies that are not recovered, ordered by service, address and id. */
    public List<LostCopy> lostCopies() {
        return List.copyOf(lostCopies.values());
    }

    /** The services whose databases are registered, in order; empty before the first configuration. */
    public Collection<String> namedServices() {
        return List.copyOf(namedServices);
    }

    /** Removes the lost copies of exactly these incarnations; that of a later incarnation of the id at the same address stays. */
    public void markRecovered(Collection<LostCopy> recovered) {
        lostCopies.values().removeIf(copy -> recovered.stream().anyMatch(copy::isOfSameIncarnations));
    }

    /**
     * Replaces the whole state of the registry.
     *
     * @param named the named services; those of instances and lost copies are added, since an earlier version stored none
     */
    public void restore(
            Collection<DatabaseInstance> registered,
            Collection<Departure> departed,
            Collection<LostCopy> lost,
            Collection<String> named) {
        instances.clear();
        registered.forEach(instance -> instances.put(instance.instanceId(), instance));
        departures.clear();
        departures.addAll(departed);
        lostCopies.clear();
        lost.forEach(this::addLostCopy);
        namedServices.clear();
        if (!named.isEmpty()) {
            namedServices.addAll(named);
            namedServices.addAll(servicesInUse());
        }
    }

    private Set<String> servicesInUse() {
        Set<String> services = new TreeSet<>();
        instances.values().forEach(instance -> services.add(instance.service()));
        lostCopies.values().forEach(copy -> services.add(copy.service()));
        return services;
    }

    /** An id that was observed to run at one place has ended at another. */
    private void put(DatabaseInstance announced, boolean observed) {
        DatabaseInstance replaced = instances.put(announced.instanceId(), announced);
        if (replaced != null && !LostCopy.of(replaced, false).isCopyOf(announced)) {
            addLostCopy(LostCopy.of(replaced, observed || isAtSamePlace(replaced, announced)));
        }
        // Whoever responds at this place is the registered instance from now on.
        LostCopy running = lostCopies.get(CopyKey.of(LostCopy.of(announced, false), false));
        if (running != null && running.isCopyOf(announced)) {
            lostCopies.remove(CopyKey.of(running, false));
        } else if (running != null) {
            markEnded(running);
        }
    }

    private void markEnded(LostCopy running) {
        lostCopies.remove(CopyKey.of(running, false));
        addLostCopy(running.ended());
    }

    private void addLostCopy(LostCopy added) {
        lostCopies.merge(CopyKey.of(added, added.processEnded()), added, LostCopy::mergedWith);
    }

    /** Drops the lost copies of incarnations that ended at an instance's place, and that were announced to have started no earlier. */
    private void dropStartsSince(DatabaseInstance running) {
        lostCopies.computeIfPresent(
                CopyKey.of(LostCopy.of(running, true), true),
                (key, ended) -> ended.startedBefore(running.bornMs()).orElse(null));
    }

    private static boolean isAtSamePlace(DatabaseInstance first, DatabaseInstance second) {
        return first.service().equals(second.service()) && first.address().equals(second.address());
    }

    /** An id at an address of a service, and whether the process of the copy has ended. */
    private record CopyKey(String service, Address address, String instanceId, boolean processEnded) {
        static CopyKey of(LostCopy copy, boolean processEnded) {
            return new CopyKey(copy.service(), copy.address(), copy.instanceId(), processEnded);
        }
    }
}
