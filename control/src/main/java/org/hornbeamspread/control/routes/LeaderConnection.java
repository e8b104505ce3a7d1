package org.hornbeamspread.control.routes;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.PeerConnection;

/**
 * A connection to the leader that several requests share. A request without an answer in time shows a silent connection only if no
 * other was answered meanwhile: one slow request must not fail those behind it. A silent connection gets no new requests, and is
 * closed after its last pending one. Thread-safe.
 */
final class LeaderConnection {
    private final PeerConnection connection;
    private final Duration requestTimeout;
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger pendingRequests = new AtomicInteger();
    private volatile boolean silent;

    LeaderConnection(PeerConnection connection, Duration requestTimeout) {
        this.connection = connection;
        this.requestTimeout = requestTimeout;
    }

    boolean isUsable() {
        return connection.isOpen() && !silent;
    }

    CompletableFuture<Envelope> request(Envelope request) {
        int answersBefore = answers.get();
        pendingRequests.incrementAndGet();
        return connection.request(request, requestTimeout).whenComplete((answer, error) -> {
            boolean timedOut = error != null && FailureException.of(error).type() == FailureType.REQUEST_TIMEOUT;
            if (!timedOut) {
                answers.incrementAndGet();
            } else if (answers.get() == answersBefore) {
                silent = true;
            }
            if (pendingRequests.decrementAndGet() == 0 && silent) {
                connection.close();
            }
        });
    }
}
