package org.hornbeamspread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * Bounds the age of replica reads.
 *
 * <p>A database that proves to be the primary while it answers tells its log's position. Every commit acknowledged before
 * that question was sent is at or before the position, so a log that holds it misses only later commits. A read that may
 * miss commits younger than an allowance thus asks for the position of a sample whose question is younger than that.
 * Of all such samples the oldest is asked for, since replicas are most likely to hold it.
 *
 * <p>Ages are differences of one steady clock. A machine that was suspended or stepped its clock can't tell them any more
 * and forgets its samples: {@link #clear}. Confined to one thread.
 */
public final class PositionSamples {
    private static final int MAX_SAMPLES = 64;

    /** Samples closer together than this tell the same; 1/30 of the smallest allowance known of. */
    private static final long MIN_SPACING_MS = 50;

    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * A position that the primary told.
     *
     * @param askedAtMs when the question was sent, on a steady clock
     * @param position of the primary's log while it answered
     */
    public record Sample(long requestedAtMs, LogPosition position) {}

    /** Takes a sample of a database that proved to be the primary while answering. */
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

    /** The oldest sample that proves a read to be no older than the allowance. */
    public Optional<Sample> oldestWithin(long nowMs, long allowanceMs) {
        return samples.stream()
                .filter(sample -> nowMs - sample.requestedAtMs() < allowanceMs)
                .findFirst();
    }

    /** The latest sample. */
    public Optional<Sample> latest() {
        return Optional.ofNullable(samples.peekLast());
    }

    /** Drops every sample, as after a jump of the clock. */
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
