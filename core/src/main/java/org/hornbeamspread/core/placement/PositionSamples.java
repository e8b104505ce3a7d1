package org.hornbeamspread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Bounds the staleness of reads at replicas.
 *
 * <p>A database that proves to be the primary while it responds reports the position of its log. Every commit
 * acknowledged before that request was sent is at or before the position, so a log that contains the position lacks
 * only later commits. A read that may miss commits younger than an allowance thus requires the position of a sample
 * whose request is younger than the allowance. Of all such samples the oldest is required, since replicas are most
 * likely to have applied it.
 *
 * <p>Ages are differences of one steady clock. After a suspension of the machine or a step of its clock the differences
 * are invalid, and the samples must be dropped: {@link #clear}. Confined to one thread.
 */
public final class PositionSamples {
    private static final int MAX_SAMPLES = 64;

    /** Samples closer together than this are redundant; 1/30 of the smallest known allowance. */
    private static final long MIN_SPACING_MS = 50;

    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * A position that the primary reported.
     *
     * @param requestedAtMs when the request was sent, on a steady clock
     * @param position the position of the primary's log when it responded
     */
    public record Sample(long requestedAtMs, LogPosition position) {}

    /** Adds a sample of a database that proved to be the primary while it responded. */
    public void add(Sample sample) {
        samples.removeIf(kept -> kept.position().term() < sample.position().term());
        if (!samples.isEmpty()) {
            Sample last = samples.peekLast();
            if (sample.position().term() < last.position().term() || sample.requestedAtMs() < last.requestedAtMs()) {
                return;
            }
            if (samples.size() > 1 && sample.requestedAtMs() - secondToLast().requestedAtMs() < MIN_SPACING_MS) {
                samples.removeLast();
            }
        }
        samples.addLast(sample);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** The oldest sample that proves a staleness below the allowance. */
    public Optional<Sample> oldestWithin(long nowMs, long allowanceMs) {
        return samples.stream()
                .filter(sample -> nowMs - sample.requestedAtMs() < allowanceMs)
                .findFirst();
    }

    /** The latest sample. */
    public Optional<Sample> latest() {
        return Optional.ofNullable(samples.peekLast());
    }

    /** Drops all samples, for example after a clock jump. */
    public void clear() {
        samples.clear();
    }

    private Sample secondToLast() {
        Sample previous = null;
        Sample current = null;
        for (Sample sample : samples) {
            previous = current;
            current = sample;
        }
        return previous;
    }
}
