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
 * Reads every agent's rows after a run, through the proxies: all rows of an agent in one request, at the primary's
 * position when the request arrives, with retries at other proxies until the time limit. The result has no entry for an
 * agent whose rows could not be read.
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

    AuditReader(ProxyClient proxyClient, Workload workload, Clock clock) {
        this.proxyClient = proxyClient;
        this.requests = new RequestFactory(workload.service());
        this.rank = workload.urgentRank().name();
        this.clock = clock;
    }

    /** The rows of every agent that has payments. Blocks the calling thread. */
    Map<String, AgentRows> read(Ledger ledger, Duration limit) {
        Instant deadline = clock.instant().plus(limit);
        Map<String, AgentRows> rowsByAgent = new HashMap<>();
        Deque<Map.Entry<String, List<Payment>>> remaining =
                new ArrayDeque<>(ledger.byAgent().entrySet());
        while (!remaining.isEmpty() && clock.instant().isBefore(deadline)) {
            List<Map.Entry<String, List<Payment>>> failed = readBatch(remaining, rowsByAgent);
            remaining.addAll(failed);
            if (!failed.isEmpty()) {
                pauseBeforeRetry();
            }
        }
        return rowsByAgent;
    }

    private List<Map.Entry<String, List<Payment>>> readBatch(
            Deque<Map.Entry<String, List<Payment>>> remaining, Map<String, AgentRows> rowsByAgent) {
        Map<Map.Entry<String, List<Payment>>, CompletableFuture<ExecuteResponse>> sent = new HashMap<>();
        while (!remaining.isEmpty() && sent.size() < MAX_AGENTS_IN_FLIGHT) {
            Map.Entry<String, List<Payment>> agent = remaining.poll();
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
                    rowsByAgent.put(agent.getKey(), agentRows(agent.getValue(), response));
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
        Map<String, Long> executionCounts = new HashMap<>();
        for (int i = 0; i < payments.size(); i++) {
            executionCounts.put(payments.get(i).id(), RequestFactory.rowValue(response, i + 1));
        }
        return new AgentRows(executionCounts, RequestFactory.rowValue(response, 0));
    }

    private static void pauseBeforeRetry() {
        try {
            Thread.sleep(RETRY_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
