package org.hornbeamspread.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.ManualClock;

/**
 * A discrete-event simulation of one database: seeded Poisson arrivals for each rank, exponential service times, a
 * paused clock. The same seed gives the same arrivals and service times to every scheduler. Goodput counts the
 * requests that end within the measured time and within their rank's target. The same load starts a warm-up time
 * earlier, so that the queues have settled when the measured time begins.
 */
final class OverloadSimulation {
    private static final double MEAN_SERVICE_MS = 5;
    private static final double NS_PER_MS = 1_000_000;

    /** Time between the latest start and the target, reserved for the execution of the statement. */
    private static final Duration SERVICE_ALLOWANCE = Duration.ofMillis(25);

    private static final Duration WARM_UP = Duration.ofSeconds(10);

    private final ManualClock clock = new ManualClock();
    private final Instant startTime = clock.instant();
    private final int slots;
    private final SlotScheduler scheduler;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Counts> counts = new LinkedHashMap<>();
    private final Counts unmeasured = new Counts();
    private final Map<Long, Arrival> waiting = new LinkedHashMap<>();
    private long nextEventId;
    private long measuredMs;

    /** Creates a scheduler for {@code slots} slots. */
    interface SchedulerFactory {
        SlotScheduler create(int slots, List<RankSettings> ranks, Instant now);
    }

    /** The load of one rank: its target latency, and its utilization as a fraction of the slots' capacity. */
    record OfferedLoad(RankSettings settings, Duration target, double utilization) {
        OfferedLoad times(double factor) {
            return new OfferedLoad(settings, target, utilization * factor);
        }
    }

    /** Outcomes of one rank's requests. */
    static final class Counts {
        int offered;
        int withinTarget;
        double withinTargetServiceMs;
        int pastTarget;
        int refusedOnArrival;
        int refusedAfterWaiting;
        int unexpectedRefusals;
    }

    OverloadSimulation(int slots, SchedulerFactory factory, List<OfferedLoad> loads) {
        this.slots = slots;
        this.scheduler =
                factory.create(slots, loads.stream().map(OfferedLoad::settings).toList(), startTime);
        loads.forEach(load -> counts.put(load.settings().rank(), new Counts()));
    }

    static OverloadSimulation run(
            int slots, SchedulerFactory factory, List<OfferedLoad> loads, Duration time, long seed) {
        OverloadSimulation simulation = new OverloadSimulation(slots, factory, loads);
        simulation.measuredMs = time.toMillis();
        SplittableRandom seeds = new SplittableRandom(seed);
        Duration total = WARM_UP.plus(time);
        loads.forEach(load -> simulation.addArrivals(load, total, seeds.split()));
        simulation.drain();
        return simulation;
    }

    Counts counts(String rank) {
        return counts.get(rank);
    }

    /** Slot time of the rank's requests that ended within their target, as a fraction of all slot time. */
    double goodput(String rank) {
        return counts.get(rank).withinTargetServiceMs / ((double) slots * measuredMs);
    }

    double totalGoodput() {
        return counts.keySet().stream().mapToDouble(this::goodput).sum();
    }

    private void addArrivals(OfferedLoad load, Duration time, SplittableRandom random) {
        double gapMs = MEAN_SERVICE_MS / (slots * load.utilization());
        double atMs = exponential(random, gapMs);
        while (atMs < time.toMillis()) {
            Duration service = nanos(exponential(random, MEAN_SERVICE_MS));
            Instant at = startTime.plus(nanos(atMs));
            SlotRequest request = new SlotRequest(
                    nextEventId,
                    load.settings().rank(),
                    at,
                    at.plus(load.target()).minus(SERVICE_ALLOWANCE));
            Arrival arrival = new Arrival(request, service, at.plus(load.target()));
            events.add(new Event(at, nextEventId++, () -> arrive(arrival)));
            atMs += exponential(random, gapMs);
        }
    }

    private void drain() {
        while (!events.isEmpty()) {
            Event event = events.remove();
            clock.advance(Duration.between(clock.instant(), event.at()));
            event.action().run();
        }
    }

    private void arrive(Arrival arrival) {
        Counts rank = currentCounts(arrival.request());
        rank.offered++;
        Optional<FailureException> refusal = scheduler.offer(arrival.request());
        if (refusal.isPresent()) {
            rank.refusedOnArrival++;
            boolean expectedType = refusal.get().type() == FailureType.QUEUE_FULL
                    || refusal.get().type() == FailureType.DEADLINE_BEFORE_START;
            rank.unexpectedRefusals += expectedType ? 0 : 1;
        } else {
            waiting.put(arrival.request().requestId(), arrival);
        }
        startWaiting();
    }

    private void startWaiting() {
        Instant now = clock.instant();
        List<SlotRequest> expired = new ArrayList<>(scheduler.removeExpired(now));
        expired.forEach(request -> {
            waiting.remove(request.requestId());
            currentCounts(request).refusedAfterWaiting++;
        });
        Optional<SlotRequest> next = scheduler.poll(now);
        while (next.isPresent()) {
            Arrival started = waiting.remove(next.get().requestId());
            Instant end = now.plus(started.service());
            events.add(new Event(end, nextEventId++, () -> complete(started)));
            next = scheduler.poll(now);
        }
    }

    private void complete(Arrival arrival) {
        Counts rank = currentCounts(arrival.request());
        if (clock.instant().isAfter(arrival.deadline())) {
            rank.pastTarget++;
        } else {
            rank.withinTarget++;
            rank.withinTargetServiceMs += arrival.service().toNanos() / NS_PER_MS;
        }
        scheduler.complete(arrival.request(), clock.instant());
        startWaiting();
    }

    /** The counts of a request's rank within the measured time, otherwise counts that are discarded. */
    private Counts currentCounts(SlotRequest request) {
        Duration age = Duration.between(startTime.plus(WARM_UP), clock.instant());
        boolean measured = !age.isNegative() && age.toMillis() < measuredMs;
        return measured ? counts.get(request.rank()) : unmeasured;
    }

    private static double exponential(SplittableRandom random, double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private static Duration nanos(double ms) {
        return Duration.ofNanos(Math.round(ms * NS_PER_MS));
    }

    private record Arrival(SlotRequest request, Duration service, Instant deadline) {}

    private record Event(Instant at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
