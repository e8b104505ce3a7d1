package org.hornbeamspread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how many proxies share a database's connections, preferring an estimate that is too high.
 *
 * <p>Guards against the low count of a control leader that has just taken over and has received messages from few
 * proxies yet. A proxy that applied that count immediately would open far more connections than its share, the databases
 * would refuse connections to all proxies, and the statements of the other proxies would fail. So a higher count
 * applies immediately, and a lower one only once the higher one has not been reported for some time. A proxy that has just
 * started begins with an assumed count, since the leader may have just started, too. Confined to one thread.
 */
public final class ProxyCountEstimate {
    /** How long a higher count still applies: longer than a proxy takes to find a new leader. */
    private static final long DECREASE_DELAY_MS = 8_000;

    private final Deque<Observation> observations = new ArrayDeque<>();

    /** Starts with an assumed count. */
    public ProxyCountEstimate(int assumed) {
        observations.addLast(new Observation(assumed, 0));
    }

    /** Records a reported count, and returns the estimate. */
    public int observe(int count, long nowMs) {
        Observation latest = observations.removeLast();
        if (latest.count() > count) {
            observations.addLast(new Observation(latest.count(), nowMs));
        }
        observations.removeIf(observation -> observation.count() <= count);
        observations.addLast(new Observation(count, nowMs));
        return current(nowMs);
    }

    /** The current estimate, at least 1. */
    public int current(long nowMs) {
        while (observations.size() > 1 && nowMs - observations.peekFirst().lastValidAtMs() > DECREASE_DELAY_MS) {
            observations.removeFirst();
        }
        return Math.max(1, observations.peekFirst().count());
    }

    /**
     * A reported or assumed count.
     *
     * @param count the number of proxies
     * @param lastValidAtMs when the count was reported or, once a lower count has followed, when that one was reported
     */
    private record Observation(int count, long lastValidAtMs) {}
}
