package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hornbeamspread.core.misc.Effect;

/**
 * The failover gap of one group: the longest span in which urgent writes were offered and none was acknowledged.
 *
 * <p>A span opens when a write is offered while no span is open, and at an acknowledgement while other writes wait. It
 * ends at the next acknowledgement of any urgent write of the group, or with the run. A write that is given up closes no
 * span. Only spans that end after the fault count; without a fault all of them do.
 */
final class FailoverGap {
    private final List<Event> events = new ArrayList<>();

    /** Notes the intended start of an urgent write. */
    void offered(long atMs) {
        events.add(new Event(atMs, Kind.OFFERED));
    }

    /** Notes its acknowledgement, or that it was given up. */
    void completed(long atMs, Effect lastWord) {
        events.add(new Event(atMs, lastWord == Effect.DONE ? Kind.ACKNOWLEDGED : Kind.GIVEN_UP));
    }

    /** The longest span that ends after the fault. */
    long longestMs(long faultAtMs, long endMs) {
        List<Event> ordered = new ArrayList<>(events);
        ordered.sort(Comparator.comparingLong(Event::atMs));
        long longestMs = 0;
        long openedAtMs = -1;
        int waiting = 0;
        for (Event event : ordered) {
            if (event.kind == Kind.OFFERED) {
                waiting++;
                openedAtMs = openedAtMs < 0 ? event.atMs : openedAtMs;
                continue;
            }
            waiting--;
            if (event.kind == Kind.ACKNOWLEDGED) {
                if (openedAtMs >= 0 && event.atMs > faultAtMs) {
                    longestMs = Math.max(longestMs, event.atMs - openedAtMs);
                }
                openedAtMs = waiting > 0 ? event.atMs : -1;
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
