package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * All arrivals of a run, fixed by the seed before the run starts: an open loop, in which a slow answer delays no later
 * request. Each rank, and the flood, is a Poisson stream of its own with its own random numbers, so that the ordinary
 * arrivals of a seed are the same with and without a flood.
 */
final class ArrivalSchedule {
    private static final double US_PER_SECOND = 1e6;

    private ArrivalSchedule() {}

    /**
     * The arrivals in order of time. A flood lasts from one third to two thirds of the run.
     *
     * @param warmUpSeconds how long ordinary requests arrive before the start, at negative times
     * @param floodRank the index of the rank that floods, or empty
     */
    static List<Arrival> of(Workload workload, int warmUpSeconds, int seconds, long seed, Optional<Integer> floodRank) {
        long warmUpUs = (long) (warmUpSeconds * US_PER_SECOND);
        long endUs = (long) (seconds * US_PER_SECOND);
        List<Arrival> arrivals = new ArrayList<>();
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int rank = 0; rank < workload.ranks().size(); rank++) {
            RankWorkload plan = workload.ranks().get(rank);
            addPoissonArrivals(arrivals, seeds.split(), plan.arrivalsPerSecond(), -warmUpUs, endUs, rank, false);
            SplittableRandom floodRandom = seeds.split();
            if (floodRank.isPresent() && floodRank.get() == rank) {
                addPoissonArrivals(
                        arrivals, floodRandom, plan.floodArrivalsPerSecond(), endUs / 3, endUs * 2 / 3, rank, true);
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atUs));
        return arrivals;
    }

    private static void addPoissonArrivals(
            List<Arrival> arrivals,
            SplittableRandom random,
            double perSecond,
            long fromUs,
            long toUs,
            int rank,
            boolean flood) {
        if (perSecond <= 0) {
            return;
        }
        double atUs = fromUs;
        while (true) {
            atUs += -Math.log(1 - random.nextDouble()) / perSecond * US_PER_SECOND;
            if (atUs >= toUs) {
                return;
            }
            arrivals.add(new Arrival((long) atUs, rank, flood));
        }
    }
}
