package org.hornbeamspread.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * When refused requests should be sent again. Guards against clients that all return at the moment at which the first of them
 * can be served: the refused requests of a group return one after another, at the rate at which the group is served, each with
 * a random delay. Confined to one thread.
 *
 * @param <G> identifies a group of requests that are served one after another
 */
public final class ReturnTimes<G> {
    /** Spreads the return times of different proxies, which don't see each other's refusals. */
    private static final Duration JITTER = Duration.ofMillis(50);

    /** Longest time over which returns are spread; many clients give up when they are sent away for longer. */
    private static final Duration MAX_SPREAD = Duration.ofSeconds(5);

    private final RandomGenerator random;

    /** When the next refused request of a group can be served. */
    private final Map<G, Instant> nextReturns = new HashMap<>();

    /** Creates return times without any refused request. */
    public ReturnTimes(RandomGenerator random) {
        this.random = random;
    }

    /**
     * The time after which a request that is refused now should be sent again.
     *
     * @param earliest the time after which the first refused request can be served
     * @param interval the time from one served request of the group to the next
     */
    public Duration next(G group, Duration earliest, Duration interval, Instant now) {
        nextReturns.values().removeIf(next -> next.isBefore(now));
        Instant first = now.plus(earliest);
        Instant expected = nextReturns.getOrDefault(group, first);
        Instant returnAt = expected.isAfter(first) ? expected : first;
        if (Duration.between(first, returnAt).compareTo(MAX_SPREAD) >= 0) {
            returnAt = first.plusNanos(random.nextLong(MAX_SPREAD.toNanos()));
        } else {
            nextReturns.put(group, returnAt.plus(interval));
        }
        return Duration.between(now, returnAt).plusNanos(random.nextLong(JITTER.toNanos()));
    }
}
