package org.hornbeamspread.proxy;

import java.time.Duration;
import java.time.Instant;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.retry.StatementKind;
import org.hornbeamspread.core.routing.GroupRouting;
import org.hornbeamspread.core.session.SessionToken;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteStatements;
import org.hornbeamspread.protocol.schema.ServiceDefinition;

/**
 * A validated request to execute statements.
 *
 * @param request the request as received
 * @param group the database group that its routing key maps to
 * @param sessionToken the positions that the session has read and written, by group
 * @param kind the kind of the statements, which determines whether an attempt may be repeated
 * @param stalenessAllowance the maximum staleness of a read; zero allows only the primary
 * @param context the rank, caller and deadline of the request
 */
record StatementRequest(
        ExecuteRequest request,
        String group,
        SessionToken sessionToken,
        StatementKind kind,
        Duration stalenessAllowance,
        RequestContext context) {
    private static final int DEFAULT_TIMEOUT_MS = 2_000;
    private static final int MAX_TIMEOUT_MS = 60_000;
    private static final int MAX_IDEMPOTENCY_KEY_CHARACTERS = 256;

    /**
     * Validates a request against a view. Fails with NO_VIEW, INVALID_REQUEST, INVALID_TOKEN, UNKNOWN_SERVICE,
     * UNKNOWN_RANK, UNKNOWN_GROUP or KEY_REQUIRED.
     */
    static StatementRequest of(ExecuteRequest request, ViewSnapshot view, Instant now) {
        ServiceDefinition service = service(view, request.getService());
        checkRank(view, request.getRank());
        if (request.getStatementsCount() == 0) {
            throw new FailureException(FailureType.INVALID_REQUEST, "no statements");
        }
        StatementKind kind = kind(request);
        int timeoutMs = timeoutMs(request.getTimeoutMs(), service);
        return new StatementRequest(
                request,
                GroupRouting.groupOf(service.getGroupsList(), request.getRoutingKey()),
                SessionToken.decode(request.getSessionToken()),
                kind,
                effectiveStalenessAllowance(request, service),
                new RequestContext(request.getRank(), request.getCallerId(), now.plusMillis(timeoutMs)));
    }

    /** The definition of a service. Fails with NO_VIEW or UNKNOWN_SERVICE. */
    static ServiceDefinition service(ViewSnapshot view, String name) {
        if (!view.isConfigured()) {
            throw new FailureException(FailureType.NO_VIEW, "no configuration has been received from control");
        }
        return view.service(name).orElseThrow(() -> new FailureException(FailureType.UNKNOWN_SERVICE, name));
    }

    static void checkRank(ViewSnapshot view, String rank) {
        if (view.rank(rank).isEmpty()) {
            throw new FailureException(FailureType.UNKNOWN_RANK, rank);
        }
    }

    static int timeoutMs(int requestedMs, ServiceDefinition service) {
        int timeoutMs = requestedMs != 0 ? requestedMs : service.getDefaultTimeoutMs();
        if (timeoutMs < 0 || timeoutMs > MAX_TIMEOUT_MS) {
            throw new FailureException(FailureType.INVALID_REQUEST, "timeout_ms above " + MAX_TIMEOUT_MS);
        }
        return timeoutMs == 0 ? DEFAULT_TIMEOUT_MS : timeoutMs;
    }

    /** The statements in the message format for databases, at the given term; reads have term 0. */
    ExecuteStatements statements(long term) {
        return ExecuteStatements.newBuilder()
                .setTerm(term)
                .setReadOnly(kind == StatementKind.READ)
                .addAllStatements(request.getStatementsList())
                .setIdempotencyKey(kind == StatementKind.READ ? "" : request.getIdempotencyKey())
                .build();
    }

    private static StatementKind kind(ExecuteRequest request) {
        if (request.getReadOnly()) {
            return StatementKind.READ;
        }
        String key = request.getIdempotencyKey();
        if (key.length() > MAX_IDEMPOTENCY_KEY_CHARACTERS) {
            throw new FailureException(FailureType.INVALID_REQUEST, "the idempotency key is too long");
        }
        if (key.isEmpty() && request.getNonRepeatable()) {
            throw new FailureException(FailureType.KEY_REQUIRED, request.getService());
        }
        return key.isEmpty() ? StatementKind.UNKEYED_WRITE : StatementKind.KEYED_WRITE;
    }

    private static Duration effectiveStalenessAllowance(ExecuteRequest request, ServiceDefinition service) {
        long serviceMs = Integer.toUnsignedLong(service.getStalenessAllowanceMs());
        long requestMs = Integer.toUnsignedLong(request.getStalenessAllowanceMs());
        return Duration.ofMillis(requestMs == 0 ? serviceMs : Math.min(serviceMs, requestMs));
    }
}
