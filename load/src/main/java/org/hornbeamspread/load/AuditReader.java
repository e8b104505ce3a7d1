package org.hornbeamspread.load;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/**
 * Reads every agent's rows after a run, through the proxies: at the primary's position on arrival, all rows of an agent
 * in one request, with tries at other proxies until the time is over. An agent that could not be read is left out.
 */
final class AuditReader {
    private static final int MAX_AGENTS_IN_FLIGHT = 12;
    private static final int REQUEST_TIMEOUT_MS = 5_000;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final ProxyClient proxyClient;
    private final RequestFactory requests;
    private final String rank;
    private final Clock clock;
    private int nextProxy;

    AuditReader(ProxyClient port, Workload workload, Clock clock) {
        this.proxyClient = port;
        this.requests = new RequestFactory(workload.service());
        this.rank = workload.urgentRank().name();
        this.clock = clock;
    }

    /** The books of every agent that has payments. Blocks the calling thread. */
    Map<String, AgentRows> read(Ledger ledger, Duration limit) {
        Instant deadline = clock.instant().plus(limit);
        Map<String, AgentRows> books = new HashMap<>();
        Deque<Map.Entry<String, List<Payment>>> open =
                new ArrayDeque<>(ledger.byAgent().entrySet());
        while (!open.isEmpty() && clock.instant().isBefore(deadline)) {
            List<Map.Entry<String, List<Payment>>> failed = readBatch(open, books);
            open.addAll(failed);
            if (!failed.isEmpty()) {
                pauseBeforeRetry();
            }
        }
        return books;
    }

    private List<Map.Entry<String, List<Payment>>> readBatch(
            Deque<Map.Entry<String, List<Payment>>> open, Map<String, AgentRows> books) {
        Map<Map.Entry<String, List<Payment>>, CompletableFuture<ExecuteResponse>> sent = new HashMap<>();
        while (!open.isEmpty() && sent.size() < MAX_AGENTS_IN_FLIGHT) {
            Map.Entry<String, List<Payment>> agent = open.poll();
            String proxy = proxyClient
                    .proxies()
                    .get(nextProxy++ % proxyClient.proxies().size());
            sent.put(
                    agent,
                    proxyClient.execute(
                            proxy,
                            requests.auditRead(rank, agent.getKey(), agent.getValue(), REQUEST_TIMEOUT_MS),
                            Duration.ofMillis(REQUEST_TIMEOUT_MS)));
        }
        List<Map.Entry<String, List<Payment>>> failed = new ArrayList<>();
        sent.forEach((agent, future) -> {
            try {
                ExecuteResponse response = future.join();
                if (AttemptResult.of(response).effect() == Effect.DONE) {
                    books.put(agent.getKey(), agentRows(agent.getValue(), response));
                    return;
                }
            } catch (RuntimeException e) {
                FailureException.of(e);
            }
            failed.add(agent);
        });
        return failed;
    }

    private static AgentRows agentRows(List<Payment> payments, ExecuteResponse response) {
        Map<String, Long> times = new HashMap<>();
        for (int i = 0; i < payments.size(); i++) {
            times.put(payments.get(i).id(), RequestFactory.rowValue(response, i + 1));
        }
        return new AgentRows(times, RequestFactory.rowValue(response, 0));
    }

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
