package org.hornbeamspread.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Gives the slots of one database to ranks by worth, and keeps a guaranteed share for each rank.
 *
 * <p>The problem: urgent work must go first, yet a flood of any rank, the most urgent too, must not starve the others.
 * One queue in order of arrival lets a flood of the least worthy rank delay urgent work. Strict priority lets a flood
 * of the worthiest rank starve everything else. Weighted fair queueing keeps shares, but makes urgent work wait its
 * turn even while it uses less than its share.
 *
 * <p>Here each rank earns credit, in slot time, at the rate of its share, up to a short window's worth. A free slot
 * goes to the worthiest waiting rank that has credit, and the slot time is taken from that credit. When no waiting
 * rank has credit, the slot goes to the worthiest waiting rank for nothing. So:
 *
 * <ul>
 *   <li>a rank within its share waits for worthier ranks only while those are within theirs;
 *   <li>whatever the shares leave goes by worth, and no slot stays free while a request waits;
 *   <li>an idle rank saves no more than the window's worth, so that its return is no flood of its own.
 * </ul>
 *
 * <p>A request is refused on arrival when it can't start in time. The estimate divides the rank's waiting work by the
 * slots' time that the rank can get: at least its share, and otherwise what the others leave, where a worthier rank
 * leaves what it did not use of late, and a less worthy one takes no more than its share. The refusal advises a retry
 * once enough of the queue has drained. Since each rank has its own queue and estimate, a flood's refusals fall on its
 * own rank. Where the estimate was too hopeful, the request never starts, and {@link #expired} reports it.
 */
public final class RankScheduler implements SlotScheduler {
    private static final double USAGE_WINDOW_NS = Duration.ofMillis(500).toNanos();
    private static final double CREDIT_WINDOW_NS = Duration.ofMillis(100).toNanos();
    /** Makes the estimated wait longer, for the spread of service times. */
    private static final double WAIT_MARGIN = 1.1;

    private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(5);
    private static final int FULL_PERCENT = 100;

    private int slots;

    /** In order of worth, the highest first. */
    private final Map<String, RankState> ranks = new LinkedHashMap<>();

    private final Map<Long, RunningRequest> running = new HashMap<>();

    /** Taken out because they were late, and not reported yet. */
    private final List<SlotRequest> unreportedExpired = new ArrayList<>();

    private Instant lastAdvance;

    /** A scheduler of a number of slots. Fails with INVALID_CONFIGURATION when the shares exceed the whole. */
    public RankScheduler(int slots, List<RankSettings> settings, Instant now) {
        int shares = settings.stream().mapToInt(RankSettings::sharePercent).sum();
        if (slots < 1 || shares > FULL_PERCENT) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION, slots + " slots, shares of " + shares + " percent");
        }
        this.slots = slots;
        this.lastAdvance = now;
        settings.stream()
                .sorted(Comparator.comparingInt(RankSettings::worth).reversed())
                .forEach(rank -> ranks.put(rank.rank(), new RankState(rank, slots, INITIAL_SERVICE_TIME.toNanos())));
    }

    /** Takes another number of slots over; what runs keeps its slot, also above the new number. */
    public void resize(int newSlots) {
        if (newSlots < 1) {
            throw new FailureException(FailureType.INVALID_CONFIGURATION, newSlots + " slots");
        }
        slots = newSlots;
        ranks.values().forEach(rank -> rank.resize(newSlots));
    }

    @Override
    public Optional<FailureException> offer(SlotRequest request) {
        RankState rank = ranks.get(request.rank());
        if (rank == null) {
            return Optional.of(new FailureException(FailureType.UNKNOWN_RANK, request.rank()));
        }
        advance(request.arrivedAt());
        Duration wait = estimatedWait(rank);
        if (rank.queue().size() >= rank.settings().queueLimit()) {
            return Optional.of(
                    new FailureException(FailureType.QUEUE_FULL, request.rank(), atLeastMinRetryAfter(wait)));
        }
        Duration patience = Duration.between(request.arrivedAt(), request.startBy());
        if (wait.compareTo(patience) > 0) {
            return Optional.of(new FailureException(
                    FailureType.DEADLINE_BEFORE_START, request.rank(), atLeastMinRetryAfter(wait.minus(patience))));
        }
        rank.queue().add(request);
        return Optional.empty();
    }

    @Override
    public Optional<SlotRequest> poll(Instant now) {
        if (running.size() >= slots) {
            return Optional.empty();
        }
        advance(now);
        collectExpired(now);
        Optional<RankState> owed =
                ranks.values().stream().filter(RankState::canSpendCredit).findFirst();
        Optional<RankState> chosen = owed.isPresent()
                ? owed
                : ranks.values().stream()
                        .filter(rank -> !rank.queue().isEmpty())
                        .findFirst();
        return chosen.flatMap(rank -> start(rank, owed.isPresent(), now));
    }

    @Override
    public void complete(SlotRequest request, Instant now) {
        RunningRequest ended = running.remove(request.requestId());
        if (ended == null) {
            return;
        }
        advance(now);
        double serviceNs = Duration.between(ended.startedAt(), now).toNanos();
        if (ended.charged()) {
            ended.rank().charge(serviceNs - ended.chargedNs());
        }
        ended.rank().recordService(serviceNs, USAGE_WINDOW_NS);
    }

    /** A request that was handed out has ended without being served, and its slot is free: its time says nothing of the database. */
    public void abandon(SlotRequest request, Instant now) {
        RunningRequest ended = running.remove(request.requestId());
        if (ended != null) {
            advance(now);
            ended.rank().charge(-ended.chargedNs());
        }
    }

    @Override
    public List<SlotRequest> removeExpired(Instant now) {
        collectExpired(now);
        List<SlotRequest> reported = List.copyOf(unreportedExpired);
        unreportedExpired.clear();
        return reported;
    }

    @Override
    public boolean cancel(SlotRequest request) {
        RankState rank = ranks.get(request.rank());
        return rank != null && rank.queue().remove(request);
    }

    @Override
    public int waitingRequests() {
        return ranks.values().stream().mapToInt(rank -> rank.queue().size()).sum();
    }

    @Override
    public int slotsInUse() {
        return running.size();
    }

    private void collectExpired(Instant now) {
        ranks.values().forEach(rank -> unreportedExpired.addAll(rank.queue().removeExpired(now)));
    }

    private Optional<SlotRequest> start(RankState rank, boolean charged, Instant now) {
        double chargedNs = charged ? rank.meanServiceNs() : 0;
        rank.charge(chargedNs);
        Optional<SlotRequest> request = rank.queue().poll();
        request.ifPresent(
                started -> running.put(started.requestId(), new RunningRequest(rank, now, charged, chargedNs)));
        return request;
    }

    private void advance(Instant now) {
        double elapsedNs = Math.max(0, Duration.between(lastAdvance, now).toNanos());
        if (elapsedNs > 0) {
            ranks.values().forEach(rank -> rank.advance(elapsedNs, USAGE_WINDOW_NS, CREDIT_WINDOW_NS));
            lastAdvance = now;
        }
    }

    private Duration estimatedWait(RankState rank) {
        if (running.size() < slots && waitingRequests() == 0) {
            return Duration.ZERO;
        }
        double workNs = rank.queue().size() * rank.meanServiceNs();
        return Duration.ofNanos(Math.round(WAIT_MARGIN * workNs / (slots * attainableFraction(rank))));
    }

    /** The part of the slots' time that a rank can get. */
    private double attainableFraction(RankState rank) {
        double claimed = 0;
        for (RankState other : ranks.values()) {
            if (other != rank) {
                boolean worthier = other.settings().worth() > rank.settings().worth();
                claimed += worthier
                        ? other.usage()
                        : Math.min(other.usage(), other.settings().share());
            }
        }
        double least = Math.max(rank.settings().share(), 1.0 / FULL_PERCENT);
        return Math.max(least, 1 - claimed);
    }

    private static Duration atLeastMinRetryAfter(Duration wait) {
        return wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER;
    }

    /**
     * A request that holds a slot.
     *
     * @param rank its rank
     * @param startedAt when it took the slot
     * @param charged whether it started on its rank's credit
     * @param chargedNs the slot time that was taken from the credit when it started
     */
    private record RunningRequest(RankState rank, Instant startedAt, boolean charged, double chargedNs) {}
}
