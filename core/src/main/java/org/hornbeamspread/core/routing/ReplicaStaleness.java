package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Proves an upper bound for the age of a replica's state.
 *
 * <p>A replica can't say how old its state is: when it hears nothing, it may be current or may miss an hour of writes.
 * And a report that the primary pushed says only that the primary was there before the report arrived, however long it
 * was on its way. So the proxy asks the primary, and notes its own clock <em>before</em> it asks. When the answer says
 * position P, then everything committed up to that moment is at or before P; a replica that has applied P is no older
 * than the moment of the question.
 *
 * <p>The bound for a state is thus the time since the latest question whose answer that state covers. It shrinks only
 * when a new answer arrives, and grows with the clock otherwise: silence of the primary, of the network or of the
 * replica makes the replica older, never younger.
 *
 * <p>The question must have been asked while the proxy's view lease was fresh: only then was the database asked still
 * the primary at that moment. The caller of {@link #addSample} sees to that. Not safe for use by several threads.
 */
public final class ReplicaStaleness {
    private final int maxSamples;

    /** In order of time; both parts never fall. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /** Keeps at most a number of samples; the oldest are dropped, which can only raise a bound. */
    public ReplicaStaleness(int maxSamples) {
        this.maxSamples = maxSamples;
    }

    /**
     * Adds an answer of the primary.
     *
     * @param askedAt this proxy's clock before the question was sent
     * @param position the primary's position in its answer
     */
    public void addSample(Instant askedAt, LogPosition position) {
        Sample last = samples.peekLast();
        if (last != null && (askedAt.isBefore(last.requestedAt) || !position.covers(last.position))) {
            return;
        }
        samples.addLast(new Sample(askedAt, position));
        if (samples.size() > maxSamples) {
            samples.removeFirst();
        }
    }

    /** The proven upper bound of a state's age; empty when nothing is proven. */
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
