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
    private static final int WINDOW_AGENTS = 12;
    private static final int REQUEST_TIMEOUT_MS = 5_000;
    private static final Duration ROUND_PAUSE = Duration.ofMillis(200);

    private final ProxyPort port;
    private final Requests requests;
    private final String rank;
    private final Clock clock;
    private int nextProxy;

    AuditReader(ProxyPort port, Workload workload, Clock clock) {
        this.port = port;
        this.requests = new Requests(workload.service());
        this.rank = workload.urgentRank().name();
        this.clock = clock;
    }

    /** The books of every agent that has payments. Blocks the calling thread. */
    Map<String, AgentBooks> read(Ledger ledger, Duration limit) {
        Instant deadline = clock.instant().plus(limit);
        Map<String, AgentBooks> books = new HashMap<>();
        Deque<Map.Entry<String, List<Payment>>> open =
                new ArrayDeque<>(ledger.byAgent().entrySet());
        while (!open.isEmpty() && clock.instant().isBefore(deadline)) {
            List<Map.Entry<String, List<Payment>>> failed = readWindow(open, books);
            open.addAll(failed);
            if (!failed.isEmpty()) {
                pause();
            }
        }
        return books;
    }

    private List<Map.Entry<String, List<Payment>>> readWindow(
            Deque<Map.Entry<String, List<Payment>>> open, Map<String, AgentBooks> books) {
        Map<Map.Entry<String, List<Payment>>, CompletableFuture<ExecuteResponse>> sent = new HashMap<>();
        while (!open.isEmpty() && sent.size() < WINDOW_AGENTS) {
            Map.Entry<String, List<Payment>> agent = open.poll();
            String proxy = port.proxies().get(nextProxy++ % port.proxies().size());
            sent.put(
                    agent,
                    port.execute(
                            proxy,
                            requests.audit(rank, agent.getKey(), agent.getValue(), REQUEST_TIMEOUT_MS),
                            Duration.ofMillis(REQUEST_TIMEOUT_MS)));
        }
        List<Map.Entry<String, List<Payment>>> failed = new ArrayList<>();
        sent.forEach((agent, future) -> {
            try {
                ExecuteResponse response = future.join();
                if (Answer.of(response).effect() == Effect.DONE) {
                    books.put(agent.getKey(), books(agent.getValue(), response));
                    return;
                }
            } catch (RuntimeException e) {
                FailureException.of(e);
            }
            failed.add(agent);
        });
        return failed;
    }

    private static AgentBooks books(List<Payment> payments, ExecuteResponse response) {
        Map<String, Long> times = new HashMap<>();
        for (int i = 0; i < payments.size(); i++) {
            times.put(payments.get(i).id(), Requests.number(response, i + 1));
        }
        return new AgentBooks(times, Requests.number(response, 0));
    }

    private static void pause() {
        try {
            Thread.sleep(ROUND_PAUSE.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
