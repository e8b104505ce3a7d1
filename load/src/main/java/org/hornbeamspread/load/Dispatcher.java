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
 * Sends jobs to proxies and tries them again: with the same key, to another proxy, after a pause that doubles or that the
 * proxy advises. A job that would exceed the bound on requests in flight is not sent and ends as not run. Everything
 * but the answers' arrival happens on the run's own thread.
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

    Dispatcher(ProxyClient port, SplittableRandom random, LongSupplier nowUs, Consumer<Runnable> onOwnThread) {
        this.proxyClient = port;
        this.proxies = port.proxies();
        this.random = random;
        this.nowUs = nowUs;
        this.runThreadExecutor = onOwnThread;
    }

    /** Starts a job. */
    void submit(PendingRequest job) {
        send(job);
    }

    /** Sends the retries that are due. */
    void tick() {
        while (!retries.isEmpty() && retries.peek().dueUs <= nowUs.getAsLong()) {
            send(retries.poll().pending);
        }
    }

    /** Whether every job has its last word. */
    boolean isIdle() {
        return inFlight == 0 && retries.isEmpty();
    }

    /** Requests that wait for an answer. */
    int inFlight() {
        return inFlight;
    }

    /** Jobs that met the bound on requests in flight. */
    long notSent() {
        return notSent;
    }

    /** Answers that carried a failure, tries without an answer included, by its type. */
    Map<FailureType, Long> refusals() {
        return new EnumMap<>(refusals);
    }

    private void send(PendingRequest job) {
        if (inFlight >= MAX_IN_FLIGHT) {
            notSent++;
            job.listener().onCompleted(job, Optional.empty());
            return;
        }
        String proxy = selectOtherProxy(job.avoidedProxy());
        int number = job.listener().onAttempt();
        job.attemptSent(proxy);
        inFlight++;
        Duration timeout = Duration.ofMillis(job.request().getTimeoutMs()).plus(NETWORK_TIMEOUT_MARGIN);
        proxyClient.execute(proxy, job.request(), timeout).whenComplete((response, error) -> {
            AttemptResult answer =
                    error == null ? AttemptResult.of(response) : AttemptResult.of(FailureException.of(error));
            runThreadExecutor.accept(() -> onAttemptResult(job, number, answer));
        });
    }

    private void onAttemptResult(PendingRequest job, int number, AttemptResult answer) {
        inFlight--;
        answer.failure().ifPresent(type -> refusals.merge(type, 1L, Long::sum));
        job.listener().onAttemptResult(number, answer);
        if (job.needsRetry(answer.effect())) {
            retries.add(new Retry(nowUs.getAsLong() + backoffUs(job, answer), job));
        } else {
            job.listener().onCompleted(job, Optional.of(answer));
        }
    }

    private long backoffUs(PendingRequest job, AttemptResult answer) {
        if (answer.effect() == Effect.UNKNOWN) {
            return INITIAL_BACKOFF_US;
        }
        long doubledUs = Math.min(MAX_BACKOFF_US, INITIAL_BACKOFF_US << Math.min(job.attemptsMade() - 1, 10));
        return Math.max(doubledUs, answer.retryAfter().toMillis() * US_PER_MS);
    }

    private String selectOtherProxy(String avoided) {
        int at = random.nextInt(proxies.size());
        if (proxies.get(at).equals(avoided)) {
            at = (at + 1 + random.nextInt(proxies.size() - 1)) % proxies.size();
        }
        return proxies.get(at);
    }

    private record Retry(long dueUs, PendingRequest pending) {}
}
