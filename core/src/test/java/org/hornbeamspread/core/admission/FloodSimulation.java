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
 * requests that end in the measured time and within their rank's target. The same load starts some time before it, so
 * that queues have settled.
 */
final class FloodSimulation {
    private static final double MEAN_SERVICE_MS = 5;
    private static final double NS_PER_MS = 1_000_000;

    /** Left between the latest start and the target, for the statement itself. */
    private static final Duration SERVICE_ALLOWANCE = Duration.ofMillis(25);

    private static final Duration WARM_UP = Duration.ofSeconds(10);

    private final ManualClock clock = new ManualClock();
    private final Instant start = clock.instant();
    private final int slots;
    private final SlotScheduler scheduler;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Counts> counts = new LinkedHashMap<>();
    private final Counts unmeasured = new Counts();
    private final Map<Long, Arrival> waiting = new LinkedHashMap<>();
    private long nextEvent;
    private long measuredMs;

    /** Makes a scheduler for a number of slots. */
    interface SchedulerFactory {
        SlotScheduler make(int slots, List<RankSettings> ranks, Instant now);
    }

    /** A rank, its target, and its load as a part of the slots' capacity. */
    record Load(RankSettings settings, Duration target, double load) {
        Load times(double factor) {
            return new Load(settings, target, load * factor);
        }
    }

    /** What became of one rank's requests. */
    static final class Counts {
        int offered;
        int good;
        double goodServiceMs;
        int late;
        int refusedAtOnce;
        int refusedWaiting;
        int untypedRefusals;
    }

    FloodSimulation(int slots, SchedulerFactory factory, List<Load> loads) {
        this.slots = slots;
        this.scheduler = factory.make(slots, loads.stream().map(Load::settings).toList(), start);
        loads.forEach(load -> counts.put(load.settings().rank(), new Counts()));
    }

    static FloodSimulation run(int slots, SchedulerFactory factory, List<Load> loads, Duration time, long seed) {
        FloodSimulation simulation = new FloodSimulation(slots, factory, loads);
        simulation.measuredMs = time.toMillis();
        SplittableRandom seeds = new SplittableRandom(seed);
        Duration all = WARM_UP.plus(time);
        loads.forEach(load -> simulation.addArrivals(load, all, seeds.split()));
        simulation.drain();
        return simulation;
    }

    Counts of(String rank) {
        return counts.get(rank);
    }

    /** Slot time that a rank's goodput took, as a part of all slots' time. */
    double goodput(String rank) {
        return counts.get(rank).goodServiceMs / ((double) slots * measuredMs);
    }

    double totalGoodput() {
        return counts.keySet().stream().mapToDouble(this::goodput).sum();
    }

    private void addArrivals(Load load, Duration time, SplittableRandom random) {
        double gapMs = MEAN_SERVICE_MS / (slots * load.load());
        double atMs = exponential(random, gapMs);
        while (atMs < time.toMillis()) {
            Duration service = nanos(exponential(random, MEAN_SERVICE_MS));
            Instant at = start.plus(nanos(atMs));
            SlotRequest request = new SlotRequest(
                    nextEvent,
                    load.settings().rank(),
                    at,
                    at.plus(load.target()).minus(SERVICE_ALLOWANCE));
            Arrival arrival = new Arrival(request, service, at.plus(load.target()));
            events.add(new Event(at, nextEvent++, () -> arrive(arrival)));
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
        Counts rank = countsOf(arrival.request());
        rank.offered++;
        Optional<FailureException> refusal = scheduler.offer(arrival.request());
        if (refusal.isPresent()) {
            rank.refusedAtOnce++;
            boolean typed = refusal.get().type() == FailureType.QUEUE_FULL
                    || refusal.get().type() == FailureType.DEADLINE_BEFORE_START;
            rank.untypedRefusals += typed ? 0 : 1;
        } else {
            waiting.put(arrival.request().requestId(), arrival);
        }
        startAll();
    }

    private void startAll() {
        Instant now = clock.instant();
        List<SlotRequest> late = new ArrayList<>(scheduler.expired(now));
        late.forEach(request -> {
            waiting.remove(request.requestId());
            countsOf(request).refusedWaiting++;
        });
        Optional<SlotRequest> next = scheduler.poll(now);
        while (next.isPresent()) {
            Arrival started = waiting.remove(next.get().requestId());
            Instant end = now.plus(started.service());
            events.add(new Event(end, nextEvent++, () -> end(started)));
            next = scheduler.poll(now);
        }
    }

    private void end(Arrival arrival) {
        Counts rank = countsOf(arrival.request());
        if (clock.instant().isAfter(arrival.deadline())) {
            rank.late++;
        } else {
            rank.good++;
            rank.goodServiceMs += arrival.service().toNanos() / NS_PER_MS;
        }
        scheduler.complete(arrival.request(), clock.instant());
        startAll();
    }

    /** The counts of a request's rank, or counts that nobody reads outside the measured time. */
    private Counts countsOf(SlotRequest request) {
        Duration age = Duration.between(start.plus(WARM_UP), clock.instant());
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
