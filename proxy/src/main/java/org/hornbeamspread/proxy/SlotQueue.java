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

/**
 * Queues tasks for the slots of one database, and starts each task when the scheduler assigns a slot to it. Confined to
 * the dispatcher's thread.
 */
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
     * Runs a task in a slot, which is released when the task's future completes. When the task is not started, fails with
     * DEADLINE_BEFORE_START if no slot was free in time, with QUEUE_FULL, or with WRONG_HOLDER if this queue is closed;
     * nothing has been run then.
     */
    <T> CompletableFuture<T> run(RequestContext context, Supplier<CompletableFuture<T>> task) {
        if (closed) {
            return CompletableFuture.failedFuture(
                    new FailureException(FailureType.WRONG_HOLDER, "the queue of the database is closed"));
        }
        Instant now = dispatcher.clock().instant();
        SlotRequest request = new SlotRequest(nextRequestId++, context.rank(), now, startBy(context, now));
        QueuedTask<T> queued = new QueuedTask<>(request, task);
        waiting.put(request.requestId(), queued);
        Optional<FailureException> refusal = scheduler.offer(request);
        if (refusal.isPresent()) {
            waiting.remove(request.requestId());
            queued.result.completeExceptionally(refusal.get());
            return queued.result;
        }
        startQueued();
        return queued.result;
    }

    /** Refuses the waiting tasks that can no longer start in time. Must be called periodically. */
    void expire() {
        for (SlotRequest expired : scheduler.removeExpired(dispatcher.clock().instant())) {
            QueuedTask<?> queued = waiting.remove(expired.requestId());
            if (queued != null) {
                queued.result.completeExceptionally(
                        new FailureException(FailureType.DEADLINE_BEFORE_START, expired.rank()));
            }
        }
    }

    /** Refuses new and waiting tasks; running tasks are left to complete. */
    void close() {
        closed = true;
        for (QueuedTask<?> queued : Map.copyOf(waiting).values()) {
            if (scheduler.cancel(queued.request)) {
                waiting.remove(queued.request.requestId());
                queued.result.completeExceptionally(
                        new FailureException(FailureType.WRONG_HOLDER, "the queue of the database is closed"));
            }
        }
    }

    /** The number of statements that are waiting or running. */
    int outstandingStatements() {
        return scheduler.waitingRequests() + scheduler.slotsInUse();
    }

    private Instant startBy(RequestContext context, Instant now) {
        Instant startByDeadline = context.startBy(now);
        Instant startByRankLimit = now.plus(limits.maxWait(context.rank()));
        return startByRankLimit.isBefore(startByDeadline) ? startByRankLimit : startByDeadline;
    }

    private void startQueued() {
        Optional<SlotRequest> next = scheduler.poll(dispatcher.clock().instant());
        while (next.isPresent()) {
            QueuedTask<?> queued = waiting.remove(next.get().requestId());
            start(queued);
            next = scheduler.poll(dispatcher.clock().instant());
        }
    }

    private <T> void start(QueuedTask<T> queued) {
        CompletableFuture<T> running;
        if (dispatcher.clock().instant().isBefore(queued.request.startBy())) {
            running = Futures.start(queued.task);
        } else {
            running = CompletableFuture.failedFuture(
                    new FailureException(FailureType.DEADLINE_BEFORE_START, queued.request.rank()));
        }
        running.whenCompleteAsync(
                (value, error) -> {
                    scheduler.complete(queued.request, dispatcher.clock().instant());
                    Futures.complete(queued.result, value, error);
                    startQueued();
                },
                dispatcher);
    }

    private static final class QueuedTask<T> {
        private final SlotRequest request;
        private final Supplier<CompletableFuture<T>> task;
        private final CompletableFuture<T> result = new CompletableFuture<>();

        QueuedTask(SlotRequest request, Supplier<CompletableFuture<T>> task) {
            this.request = request;
            this.task = task;
        }
    }
}
