package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hornbeamspread.core.misc.Effect;

/**
 * The failover gap of one group: the longest span in which urgent writes were offered and none was acknowledged.
 *
 * <p>A span opens when a write is offered while no span is open, and at an acknowledgement while other writes are
 * pending. It ends at the next acknowledgement of any urgent write of the group, or at the end of the run. A write that
 * is given up does not close a span. Only spans that end after the fault count; without a fault all spans count.
 */
final class FailoverGap {
    private final List<Event> events = new ArrayList<>();

    /** Adds the intended start of an urgent write. */
    void offered(long atMs) {
        events.add(new Event(atMs, Kind.OFFERED));
    }

    /** Adds the end of an urgent write: its acknowledgement, or the end of its attempts without one. */
    void completed(long atMs, Effect outcome) {
        events.add(new Event(atMs, outcome == Effect.DONE ? Kind.ACKNOWLEDGED : Kind.GIVEN_UP));
    }

    /** The longest span that ends after the fault. */
    long longestMs(long faultAtMs, long endMs) {
        List<Event> ordered = new ArrayList<>(events);
        ordered.sort(Comparator.comparingLong(Event::atMs));
        long longestMs = 0;
        long openedAtMs = -1;
        int pending = 0;
        for (Event event : ordered) {
            if (event.kind == Kind.OFFERED) {
                pending++;
                openedAtMs = openedAtMs < 0 ? event.atMs : openedAtMs;
                continue;
            }
            pending--;
            if (event.kind == Kind.ACKNOWLEDGED) {
                if (openedAtMs >= 0 && event.atMs > faultAtMs) {
                    longestMs = Math.max(longestMs, event.atMs - openedAtMs);
                }
                openedAtMs = pending > 0 ? event.atMs : -1;
            }
        }
        return openedAtMs < 0 ? longestMs : Math.max(longestMs, endMs - openedAtMs);
    }

    private enum Kind {
        OFFERED,
        ACKNOWLEDGED,
        GIVEN_UP
    }

    private record Event(long atMs, Kind kind) {}
}
