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
 * Assigns the slots of one database to ranks by worth, with a guaranteed share for each rank.
 *
 * <p>Urgent requests must go first, yet an overload of any rank, including the most urgent one, must not starve the
 * others. One FIFO queue lets an overload of the least urgent rank delay urgent requests. Strict priority lets an
 * overload of the rank of highest worth starve all others. Weighted fair queueing keeps the shares, but makes urgent
 * requests wait their turn even while their rank uses less than its share.
 *
 * <p>Here each rank accrues credit, in slot time, at the rate of its share, up to the credit of a short window. A free
 * slot goes to the waiting rank of highest worth that has credit, and the slot time is deducted from that credit. When
 * no waiting rank has credit, the slot goes to the waiting rank of highest worth without a charge. So:
 *
 * <ul>
 *   <li>a rank within its share waits for ranks of higher worth only while those are within their shares;
 *   <li>slot time that the shares leave is assigned by worth, and no slot stays free while a request waits;
 *   <li>an idle rank saves no more credit than one window's, so that its return does not starve the others in turn.
 * </ul>
 *
 * <p>Within a rank, the workspaces share the slots fairly by a {@link FairQueue}, so that the flood of one does not make
 * the others wait. A workspace with fewer waiting requests than another, relative to its weight, is accepted into a full
 * queue; the newest request of the other leaves it, and {@link #removeDisplaced} returns that request.
 *
 * <p>A request is refused on arrival when its estimated wait ends after its latest start. The estimate divides the work
 * that is queued ahead of the request by the slot time that the rank can get: at least its share, and otherwise what the
 * other ranks leave. A rank of higher worth leaves what it has not used recently; a rank of lower worth takes no more than its
 * share. The refusal carries a retry-after time, after which enough of the queue has drained. Since each rank has its
 * own queue and estimate, the refusals of an overload fall on the overloaded rank. Where the estimate was too short,
 * the request never starts, and {@link #removeExpired} returns it.
 */
public final class RankScheduler implements SlotScheduler {
    private static final double USAGE_WINDOW_NS = Duration.ofMillis(500).toNanos();
    private static final double CREDIT_WINDOW_NS = Duration.ofMillis(100).toNanos();
    /** Factor on the estimated wait that allows for the variance of service times. */
    private static final double WAIT_MARGIN = 1.1;

    private static final Duration INITIAL_SERVICE_TIME = Duration.ofMillis(5);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(5);
    private static final int FULL_PERCENT = 100;

    private int slots;

    /** By name, in descending order of worth. */
    private final Map<String, RankState> ranks = new LinkedHashMap<>();

    private final Map<Long, RunningRequest> running = new HashMap<>();

    /** Requests removed because their latest start has passed, not yet returned by {@link #removeExpired}. */
    private final List<SlotRequest> unreportedExpired = new ArrayList<>();

    /** Requests that left a full queue, not yet returned by {@link #removeDisplaced}. */
    private final List<SlotRequest> unreportedDisplaced = new ArrayList<>();

    private Instant lastAdvance;

    /** Fails with INVALID_CONFIGURATION when there is no slot, or when the shares exceed 100 percent in total. */
    public RankScheduler(int slots, List<RankSettings> settings, Instant now) {
        int shares = settings.stream().mapToInt(RankSettings::sharePercent).sum();
        if (slots < 1 || shares > FULL_PERCENT) {
            throw new FailureException(
                    FailureType.INVALID_CONFIGURATION,
                    slots + " slots (1 or more required), guaranteed shares of " + shares
                            + " percent in total (100 or less required)");
        }
        this.slots = slots;
        this.lastAdvance = now;
        settings.stream()
                .sorted(Comparator.comparingInt(RankSettings::worth).reversed())
                .forEach(rank -> ranks.put(
                        rank.rank(), new RankState(rank, slots, INITIAL_SERVICE_TIME.toNanos(), USAGE_WINDOW_NS)));
    }

    /** Changes the number of slots. Running requests keep their slots, also above the new number. */
    public void resize(int newSlots) {
        if (newSlots < 1) {
            throw new FailureException(FailureType.INVALID_CONFIGURATION, newSlots + " slots (1 or more required)");
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
        boolean full = rank.queue().size() >= rank.settings().queueLimit();
        if (full && !rank.queue().isShorterThanAnother(request.share())) {
            return Optional.of(refusal(request, FailureType.QUEUE_FULL));
        }
        Duration timeToLatestStart = Duration.between(request.arrivedAt(), request.startBy());
        if (estimatedWait(rank, request.share()).compareTo(timeToLatestStart) > 0) {
            return Optional.of(refusal(request, FailureType.DEADLINE_BEFORE_START));
        }
        if (full) {
            rank.queue().removeNewestOfLongest().ifPresent(unreportedDisplaced::add);
        }
        rank.queue().add(request);
        return Optional.empty();
    }

    /**
     * The refusal of a request of a known rank, with the time after which enough of the queue has drained, in the present state of
     * the queue, for a request like it to be accepted.
     *
     * @param type QUEUE_FULL or DEADLINE_BEFORE_START
     */
    public FailureException refusal(SlotRequest request, FailureType type) {
        Duration wait = estimatedWait(ranks.get(request.rank()), request.share());
        Duration acceptedWait = type == FailureType.QUEUE_FULL
                ? Duration.ZERO
                : Duration.between(request.arrivedAt(), request.startBy());
        return new FailureException(type, request.rank(), atLeastMinRetryAfter(wait.minus(acceptedWait)));
    }

    /** The time in which the workspace of a request can have one request served, beside the others. */
    public Duration serviceInterval(SlotRequest request) {
        RankState rank = ranks.get(request.rank());
        return Duration.ofNanos(Math.round(rank.meanServiceNs() / (slots * attainableFraction(rank, request.share()))));
    }

    @Override
    public Optional<SlotRequest> poll(Instant now) {
        if (running.size() >= slots) {
            return Optional.empty();
        }
        advance(now);
        collectExpired(now);
        Optional<RankState> withCredit =
                ranks.values().stream().filter(RankState::canSpendCredit).findFirst();
        Optional<RankState> selected = withCredit.isPresent()
                ? withCredit
                : ranks.values().stream()
                        .filter(rank -> !rank.queue().isEmpty())
                        .findFirst();
        return selected.flatMap(rank -> start(rank, withCredit.isPresent(), now));
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
        ended.rank().recordService(ended.request().share(), serviceNs);
    }

    /**
     * Frees the slot of a request that ended without service. The credit is refunded, and the time in the slot counts
     * neither as usage nor as service time, since it is no measure of the database.
     */
    public void abandon(SlotRequest request, Instant now) {
        RunningRequest ended = running.remove(request.requestId());
        if (ended != null) {
            advance(now);
            ended.rank().charge(-ended.chargedNs());
            ended.rank().queue().abandon();
        }
    }

    @Override
    public List<SlotRequest> removeExpired(Instant now) {
        collectExpired(now);
        List<SlotRequest> expired = List.copyOf(unreportedExpired);
        unreportedExpired.clear();
        return expired;
    }

    @Override
    public List<SlotRequest> removeDisplaced() {
        List<SlotRequest> displaced = List.copyOf(unreportedDisplaced);
        unreportedDisplaced.clear();
        return displaced;
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
        request.ifPresent(started ->
                running.put(started.requestId(), new RunningRequest(started, rank, now, charged, chargedNs)));
        return request;
    }

    private void advance(Instant now) {
        double elapsedNs = Math.max(0, Duration.between(lastAdvance, now).toNanos());
        if (elapsedNs > 0) {
            ranks.values().forEach(rank -> rank.advance(elapsedNs, CREDIT_WINDOW_NS));
            lastAdvance = now;
        }
    }

    /**
     * The wait of a new request of a workspace: the longer of what its place in the queue takes, and of what the workspace's own
     * waiting requests take while those of the others keep arriving as recently.
     */
    private Duration estimatedWait(RankState rank, WorkspaceShare share) {
        if (running.size() < slots && waitingRequests() == 0) {
            return Duration.ZERO;
        }
        double workAheadNs = rank.queue().requestsAhead(share) * rank.meanServiceNs();
        double ownWorkNs = rank.queue().size(share) * rank.meanServiceNs();
        double waitNs = WAIT_MARGIN * workAheadNs / (slots * attainableFraction(rank));
        double ownWaitNs = ownWorkNs == 0 ? 0 : WAIT_MARGIN * ownWorkNs / (slots * attainableFraction(rank, share));
        return Duration.ofNanos(Math.round(Math.max(waitNs, ownWaitNs)));
    }

    /** The fraction of all slot time that a workspace can get. */
    private double attainableFraction(RankState rank, WorkspaceShare share) {
        return rank.workspaceUsage().attainableFraction(share, attainableFraction(rank));
    }

    /** The fraction of all slot time that a rank can get. */
    private double attainableFraction(RankState rank) {
        double claimedFraction = 0;
        for (RankState other : ranks.values()) {
            if (other != rank) {
                boolean hasHigherWorth =
                        other.settings().worth() > rank.settings().worth();
                claimedFraction += hasHigherWorth
                        ? other.usage()
                        : Math.min(other.usage(), other.settings().share());
            }
        }
        double guaranteedFraction = Math.max(rank.settings().share(), 1.0 / FULL_PERCENT);
        return Math.max(guaranteedFraction, 1 - claimedFraction);
    }

    private static Duration atLeastMinRetryAfter(Duration wait) {
        return wait.compareTo(MIN_RETRY_AFTER) > 0 ? wait : MIN_RETRY_AFTER;
    }

    /**
     * A request that holds a slot.
     *
     * @param request the request
     * @param rank the rank of the request
     * @param startedAt when the request took the slot
     * @param charged whether the request started on its rank's credit
     * @param chargedNs the slot time deducted from the credit at the start
     */
    private record RunningRequest(
            SlotRequest request, RankState rank, Instant startedAt, boolean charged, double chargedNs) {}
}
