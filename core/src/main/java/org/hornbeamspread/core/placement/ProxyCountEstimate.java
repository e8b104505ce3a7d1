package org.hornbeamspread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many proxies share a database's connections, as far as it is safe to believe.
 *
 * <p>The load that it answers: a control leader that has just taken over has heard from few proxies yet. Whoever takes its
 * count at once opens far more than its part, the databases refuse connections to everybody, and the others' statements fail.
 * So a higher count holds at once, and a lower one only once the higher one has not held for a while. A proxy that has just
 * started assumes a count, since then the leader may have, too. Confined to one thread.
 */
public final class ProxyCountEstimate {
    /** Longer than a proxy takes to find a new leader. */
    private static final long DECREASE_DELAY_MS = 8_000;

    private final Deque<Observation> observations = new ArrayDeque<>();

    /** Begins with a count that is assumed. */
    public ProxyCountEstimate(int assumed) {
        observations.addLast(new Observation(assumed, 0));
    }

    /** Takes a count over, and gives the one to go by. */
    public int observe(int count, long nowMs) {
        Observation last = observations.removeLast();
        if (last.count() > count) {
            observations.addLast(new Observation(last.count(), nowMs));
        }
        observations.removeIf(earlier -> earlier.count() <= count);
        observations.addLast(new Observation(count, nowMs));
        return current(nowMs);
    }

    /** The count to go by. */
    public int current(long nowMs) {
        while (observations.size() > 1 && nowMs - observations.peekFirst().lastValidAtMs() > DECREASE_DELAY_MS) {
            observations.removeFirst();
        }
        return Math.max(1, observations.peekFirst().count());
    }

    /**
     * A count.
     *
     * @param atMs when it was heard, and for one that a lower one followed, when that was
     */
    private record Observation(int count, long lastValidAtMs) {}
}
