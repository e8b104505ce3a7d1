package org.hornbeamspread.core.route;

import java.time.Clock;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects instances that continue to announce themselves although their announcements are outdated.
 *
 * <p>A later start time, a higher sequence or a departure of an id may come from another writer, and then the announcements of the
 * running instance count as outdated for good. An announcement that a partition delayed is outdated too, but a process that has ended
 * does not announce itself for seconds with increasing sequences, while the later incarnation that is registered announces nothing.
 * A departing instance announces that it is draining first. Confined to one thread.
 */
public final class OutdatedAnnouncements {
    /** Longer than the announcements of an ended process arrive one after the other: a database waits for each response for 1 s. */
    static final long MIN_CONTINUED_MS = 3_000;

    /** A series of announcements is interrupted by a longer pause than this. */
    static final long MAX_PAUSE_MS = 5_000;

    static final int MIN_ANNOUNCEMENTS = 3;

    private static final int MAX_SERIES = 1_024;

    private final Clock clock;
    private final Map<String, Series> seriesById = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Series> eldest) {
            return size() > MAX_SERIES;
        }
    };

    /** Creates a detector without series. */
    public OutdatedAnnouncements(Clock clock) {
        this.clock = clock;
    }

    /**
     * Handles an outdated announcement of a registered id. Returns whether its instance continues to announce itself as ready, so that it may
     * be reinstated if it responds.
     *
     * @param acceptedAtMs the time of the latest accepted announcement of the id, after which the series begins
     */
    public boolean onOutdated(DatabaseInstance announced, long acceptedAtMs) {
        long nowMs = clock.millis();
        Series series = seriesById.remove(announced.instanceId());
        if (series == null || series.sinceMs() <= acceptedAtMs || !series.isContinuedBy(announced, nowMs)) {
            series = new Series(announced, nowMs, nowMs, 1);
        } else if (announced.sequence() > series.latest().sequence()) {
            series = new Series(announced, series.sinceMs(), nowMs, series.announcements() + 1);
        }
        seriesById.put(announced.instanceId(), series);
        return !announced.draining()
                && series.announcements() >= MIN_ANNOUNCEMENTS
                && nowMs - series.sinceMs() >= MIN_CONTINUED_MS;
    }

    /**
     * Whether an instance is reinstated whose announcement is outdated, by what a connection to it shows. No instance of a departed id
     * counts, so that a ready one is registered unless its process was observed to have ended. A registered one counts in its place.
     *
     * @param continued whether the instance continues to announce itself, see {@link #onOutdated}
     */
    public static boolean isReinstated(boolean registered, boolean continued, Presence presence) {
        return registered ? continued && presence == Presence.RUNNING : !presence.isProcessEnded();
    }

    /** Drops all series. */
    public void clear() {
        seriesById.clear();
    }

    /** Announcements of one incarnation at one place, with increasing sequences. */
    private record Series(DatabaseInstance latest, long sinceMs, long latestAtMs, int announcements) {
        boolean isContinuedBy(DatabaseInstance announced, long nowMs) {
            return LostCopy.of(latest, false).isCopyOf(announced) && nowMs - latestAtMs <= MAX_PAUSE_MS;
        }
    }
}
