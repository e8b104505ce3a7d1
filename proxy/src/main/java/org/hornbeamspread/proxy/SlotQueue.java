package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.hornbeamspread.core.admission.SlotRequest;
import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/** Runs work when a scheduler gives it a slot of one database. Owned by the dispatcher's thread. */
final class SlotQueue {
    private final Dispatcher dispatcher;
    private final SlotScheduler scheduler;
    private final QueueLimits limits;
    private final Map<Long, QueuedTask<?>> waiting = new HashMap<>();
    private long nextRequestId;
    private boolean closed;

    SlotQueue(Dispatcher dispatcher, SlotScheduler scheduler, QueueLimits limits) {
        this.limits = limits;
        this.dispatcher = dispatcher;
        this.scheduler = scheduler;
    }

    /**
     * Takes a slot, runs something, and gives the slot back when its future ends. Without a slot in time it fails with
     * DEADLINE_BEFORE_START, QUEUE_FULL or WRONG_HOLDER, and nothing was run.
     */
    <T> CompletableFuture<T> run(RequestContext order, Supplier<CompletableFuture<T>> body) {
        if (closed) {
            return CompletableFuture.failedFuture(new FailureException(FailureType.WRONG_HOLDER, "no longer held"));
        }
        Instant now = dispatcher.clock().instant();
        SlotRequest request = new SlotRequest(nextRequestId++, order.rank(), now, startBy(order, now));
        QueuedTask<T> work = new QueuedTask<>(request, body);
        waiting.put(request.requestId(), work);
        Optional<FailureException> refusal = scheduler.offer(request);
        if (refusal.isPresent()) {
            waiting.remove(request.requestId());
            work.result.completeExceptionally(refusal.get());
            return work.result;
        }
        startQueued();
        return work.result;
    }

    /** Refuses what can't start in time any more. Called every now and then. */
    void expire() {
        for (SlotRequest late : scheduler.removeExpired(dispatcher.clock().instant())) {
            QueuedTask<?> work = waiting.remove(late.requestId());
            if (work != null) {
                work.result.completeExceptionally(new FailureException(FailureType.DEADLINE_BEFORE_START, late.rank()));
            }
        }
    }

    /** Refuses what waits; what runs ends by itself. */
    void close() {
        closed = true;
        for (QueuedTask<?> work : Map.copyOf(waiting).values()) {
            if (scheduler.cancel(work.request)) {
                waiting.remove(work.request.requestId());
                work.result.completeExceptionally(new FailureException(FailureType.WRONG_HOLDER, "no longer held"));
            }
        }
    }

    /** Statements that wait or run. */
    int outstandingStatements() {
        return scheduler.waitingRequests() + scheduler.slotsInUse();
    }

    private Instant startBy(RequestContext order, Instant now) {
        Instant byDeadline = order.startBy(now);
        Instant byRank = now.plus(limits.maxWait(order.rank()));
        return byRank.isBefore(byDeadline) ? byRank : byDeadline;
    }

    private void startQueued() {
        Optional<SlotRequest> next = scheduler.poll(dispatcher.clock().instant());
        while (next.isPresent()) {
            QueuedTask<?> work = waiting.remove(next.get().requestId());
            start(work);
            next = scheduler.poll(dispatcher.clock().instant());
        }
    }

    private <T> void start(QueuedTask<T> work) {
        CompletableFuture<T> running;
        if (dispatcher.clock().instant().isBefore(work.request.startBy())) {
            running = Futures.start(work.task);
        } else {
            running = CompletableFuture.failedFuture(
                    new FailureException(FailureType.DEADLINE_BEFORE_START, work.request.rank()));
        }
        running.whenCompleteAsync(
                (value, error) -> {
                    scheduler.complete(work.request, dispatcher.clock().instant());
                    Futures.complete(work.result, value, error);
                    startQueued();
                },
                dispatcher);
    }

    private static final class QueuedTask<T> {
        private final SlotRequest request;
        private final Supplier<CompletableFuture<T>> task;
        private final CompletableFuture<T> result = new CompletableFuture<>();

        QueuedTask(SlotRequest request, Supplier<CompletableFuture<T>> body) {
            this.request = request;
            this.task = body;
        }
    }
}
