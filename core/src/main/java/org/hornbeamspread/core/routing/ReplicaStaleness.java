package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Proves an upper bound for the staleness of a replica's state.
 *
 * <p>A replica can't determine the staleness of its own state: when it receives nothing, it may be current or may lack
 * an hour of writes. A report pushed by the primary only proves that the primary had reached the position before the
 * report arrived, and the report may have been in transit for any time. So the proxy requests the primary's position,
 * and reads its own clock <em>before</em> it sends the request. When the response contains position P, then everything
 * committed up to that moment is at or before P; the state of a replica that has applied P is no older than the moment
 * of the request.
 *
 * <p>The bound for a state is thus the time since the latest request whose response position that state covers. The
 * bound shrinks only when a new response arrives, and grows with the clock otherwise: missing messages from the
 * primary or the replica, or a network failure, raise the bound and never lower it.
 *
 * <p>The request must have been sent while the proxy's view lease was fresh: only then was the responding database
 * still the primary at that moment. The caller of {@link #addSample} must ensure this. Not thread-safe.
 */
public final class ReplicaStaleness {
    private final int maxSamples;

    /** In order of time; neither the request times nor the positions ever decrease. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Keeps at most {@code maxSamples} samples; the oldest are dropped, which can only raise a bound. */
    public ReplicaStaleness(int maxSamples) {
        this.maxSamples = maxSamples;
    }

    /**
     * Adds a response of the primary. A sample with an earlier request time or position than the last one is ignored.
     *
     * @param requestedAt this proxy's clock before the request was sent
     * @param position the primary's position in its response
     */
    public void addSample(Instant requestedAt, LogPosition position) {
        Sample last = samples.peekLast();
        if (last != null && (requestedAt.isBefore(last.requestedAt) || !position.covers(last.position))) {
            return;
        }
        samples.addLast(new Sample(requestedAt, position));
        if (samples.size() > maxSamples) {
            samples.removeFirst();
        }
    }

    /** The proven upper bound of the staleness of a state; empty when no sample is covered by the state. */
    public Optional<Duration> upperBound(LogPosition applied, Instant now) {
        for (Iterator<Sample> newestFirst = samples.descendingIterator(); newestFirst.hasNext(); ) {
            Sample sample = newestFirst.next();
            if (applied.covers(sample.position)) {
                return Optional.of(Duration.between(sample.requestedAt, now));
            }
        }
        return Optional.empty();
    }

    private record Sample(Instant requestedAt, LogPosition position) {}
}
