package org.hornbeamspread.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * Sends requests to proxies and retries them: with the same idempotency key, to another proxy, after an exponential
 * backoff or the longer pause that the proxy advises. An attempt that would exceed the limit on requests in flight is
 * not sent, and its request ends, as NOT_RUN if no attempt was sent. Only the responses are received on other threads;
 * all else runs on the run's thread.
 */
final class Dispatcher {
    private static final int MAX_IN_FLIGHT = 4_000;
    private static final long INITIAL_BACKOFF_US = 50_000;
    private static final long MAX_BACKOFF_US = 1_000_000;
    private static final Duration NETWORK_TIMEOUT_MARGIN = Duration.ofMillis(500);
    private static final long US_PER_MS = 1_000;

    private final ProxyClient proxyClient;
    private final List<String> proxies;
    private final SplittableRandom random;
    private final LongSupplier nowUs;
    private final Consumer<Runnable> runThreadExecutor;
    private final PriorityQueue<Retry> retries = new PriorityQueue<>(Comparator.comparingLong(Retry::dueUs));
    private final Map<FailureType, Long> refusals = new EnumMap<>(FailureType.class);
    private int inFlight;
    private long notSent;

    Dispatcher(
            ProxyClient proxyClient,
            SplittableRandom random,
            LongSupplier nowUs,
            Consumer<Runnable> runThreadExecutor) {
        this.proxyClient = proxyClient;
        this.proxies = proxyClient.proxies();
        this.random = random;
        this.nowUs = nowUs;
        this.runThreadExecutor = runThreadExecutor;
    }

    /** Sends the first attempt of a request. */
    void submit(PendingRequest pending) {
        send(pending);
    }

    /** Sends the retries that are due. */
    void tick() {
        while (!retries.isEmpty() && retries.peek().dueUs <= nowUs.getAsLong()) {
            send(retries.poll().pending);
        }
    }

    /** Whether every request has its final outcome. */
    boolean isIdle() {
        return inFlight == 0 && retries.isEmpty();
    }

    /** The number of attempts that wait for a response. */
    int inFlight() {
        return inFlight;
    }

    /** The number of requests that the limit on requests in flight ended. */
    long notSent() {
        return notSent;
    }

    /** The number of failed attempts by type of failure, including attempts without a response. */
    Map<FailureType, Long> refusals() {
        return new EnumMap<>(refusals);
    }

    private void send(PendingRequest pending) {
        if (inFlight >= MAX_IN_FLIGHT) {
            notSent++;
            pending.listener().onCompleted(pending, Optional.empty());
            return;
        }
        String proxy = selectOtherProxy(pending.avoidedProxy());
        int attempt = pending.listener().onAttempt();
        pending.attemptSent(proxy);
        inFlight++;
        Duration timeout = Duration.ofMillis(pending.request().getTimeoutMs()).plus(NETWORK_TIMEOUT_MARGIN);
        proxyClient.execute(proxy, pending.request(), timeout).whenComplete((response, error) -> {
            AttemptResult result =
                    error == null ? AttemptResult.of(response) : AttemptResult.of(FailureException.of(error));
            runThreadExecutor.accept(() -> onAttemptResult(pending, attempt, result));
        });
    }

    private void onAttemptResult(PendingRequest pending, int attempt, AttemptResult result) {
        inFlight--;
        result.failure().ifPresent(type -> refusals.merge(type, 1L, Long::sum));
        pending.listener().onAttemptResult(attempt, result);
        if (pending.needsRetry(result.effect())) {
            retries.add(new Retry(nowUs.getAsLong() + backoffUs(pending, result), pending));
        } else {
            pending.listener().onCompleted(pending, Optional.of(result));
        }
    }

    private long backoffUs(PendingRequest pending, AttemptResult result) {
        if (result.effect() == Effect.UNKNOWN) {
            return INITIAL_BACKOFF_US;
        }
        long doubledUs = Math.min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << Math.min(pending.attemptsMade() - 1, 10));
        return Math.max(doubledUs, result.retryAfter().toMillis() * US_PER_MS);
    }

    private String selectOtherProxy(String avoidedProxy) {
        int index = random.nextInt(proxies.size());
        if (proxies.get(index).equals(avoidedProxy)) {
            index = (index + 1 + random.nextInt(proxies.size() - 1)) % proxies.size();
        }
        return proxies.get(index);
    }

    private record Retry(long dueUs, PendingRequest pending) {}
}
