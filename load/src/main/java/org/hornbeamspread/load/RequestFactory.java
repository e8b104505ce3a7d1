package org.hornbeamspread.load;

import java.util.List;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.protocol.schema.Statement;

/** Builds the requests of the workload, and extracts values from the rows of their responses. */
final class RequestFactory {
    private static final String PAYMENTS = "payments";
    private static final String BALANCES = "balances";
    private static final String SCAN_ROW_LIMIT = "100";
    private static final String NIGHTLY_SLEEP_MS = "20";

    private final String service;

    RequestFactory(String service) {
        this.service = service;
    }

    /** A payment: adds to its row and to the agent's balance in one transaction; its id is the idempotency key. */
    ExecuteRequest payment(RankWorkload rank, Payment payment, String sessionToken) {
        return requestBuilder(rank.name(), payment.agent(), rank.timeoutMs())
                .setSessionToken(sessionToken)
                .setNonRepeatable(true)
                .setIdempotencyKey(payment.id())
                .addStatements(statement("row.add", PAYMENTS, payment.id(), "1"))
                .addStatements(statement("row.add", BALANCES, payment.agent(), Long.toString(payment.amount())))
                .build();
    }

    /** A session's read of its agent's balance and of the given payments, in this order. */
    ExecuteRequest sessionRead(RankWorkload rank, String agent, String sessionToken, List<Payment> payments) {
        ExecuteRequest.Builder request = requestBuilder(rank.name(), agent, rank.timeoutMs())
                .setReadOnly(true)
                .setSessionToken(sessionToken);
        addGets(request, agent, payments);
        return request.build();
    }

    /** A long read of an agent's payments. */
    ExecuteRequest ledgerScan(RankWorkload rank, String agent) {
        return requestBuilder(rank.name(), agent, rank.timeoutMs())
                .setReadOnly(true)
                .addStatements(statement("row.scan", PAYMENTS, agent, SCAN_ROW_LIMIT))
                .addStatements(statement("sleep", NIGHTLY_SLEEP_MS))
                .build();
    }

    /** A long write with an idempotency key. */
    ExecuteRequest syncWrite(RankWorkload rank, String agent, String id) {
        return requestBuilder(rank.name(), agent, rank.timeoutMs())
                .setIdempotencyKey(id)
                .addStatements(statement("row.put", "syncs", id, "done"))
                .addStatements(statement("sleep", NIGHTLY_SLEEP_MS))
                .build();
    }

    /** The audit's read. With a session but no token, it is served from the primary's position on arrival. */
    ExecuteRequest auditRead(String rank, String agent, List<Payment> payments, int timeoutMs) {
        ExecuteRequest.Builder request = requestBuilder(rank, agent, timeoutMs)
                .setReadOnly(true)
                .setSessionId("audit")
                .setStalenessAllowanceMs(1);
        addGets(request, agent, payments);
        return request.build();
    }

    /** The number in the row of one statement's result; 0 for an absent row. */
    static long rowValue(ExecuteResponse response, int statement) {
        if (response.getResultsCount() <= statement
                || response.getResults(statement).getRowsCount() == 0) {
            return 0;
        }
        List<String> columns = response.getResults(statement).getRows(0).getColumnsList();
        return columns.isEmpty() ? 0 : Long.parseLong(columns.get(columns.size() - 1));
    }

    private static void addGets(ExecuteRequest.Builder request, String agent, List<Payment> payments) {
        request.addStatements(statement("row.get", BALANCES, agent));
        payments.forEach(payment -> request.addStatements(statement("row.get", PAYMENTS, payment.id())));
    }

    private ExecuteRequest.Builder requestBuilder(String rank, String agent, int timeoutMs) {
        return ExecuteRequest.newBuilder()
                .setService(service)
                .setRank(rank)
                .setRoutingKey(agent)
                .setCallerId(agent)
                .setTimeoutMs(timeoutMs);
    }

    private static Statement statement(String name, String... arguments) {
        return Statement.newBuilder()
                .setName(name)
                .addAllArguments(List.of(arguments))
                .build();
    }
}
