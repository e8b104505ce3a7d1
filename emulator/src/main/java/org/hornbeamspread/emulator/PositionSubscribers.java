package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.function.Supplier;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.transport.PeerConnection;

/** Pushes the position report to subscribers: soon after a change, and as a heartbeat. Decision thread only. */
final class PositionSubscribers {
    private static final Duration COALESCE = Duration.ofMillis(1);
    private static final int MIN_HEARTBEAT_MS = 20;

    private final DecisionLoop loop;
    private final Supplier<PositionReport> report;
    private final IdentityHashMap<PeerConnection, Integer> heartbeatMs = new IdentityHashMap<>();
    private boolean pushPlanned;

    PositionSubscribers(DecisionLoop loop, Supplier<PositionReport> report) {
        this.loop = loop;
        this.report = report;
    }

    /** Adds a subscriber, or changes its heartbeat. */
    void add(PeerConnection connection, int everyMs) {
        boolean isNew = heartbeatMs.put(connection, Math.max(MIN_HEARTBEAT_MS, everyMs)) == null;
        if (isNew) {
            heartbeat(connection);
        }
    }

    /** Forgets a subscriber. */
    void remove(PeerConnection connection) {
        heartbeatMs.remove(connection);
    }

    /** Plans a push to everybody. */
    void changed() {
        if (!pushPlanned && !heartbeatMs.isEmpty()) {
            pushPlanned = true;
            loop.after(COALESCE, () -> {
                pushPlanned = false;
                Envelope push = envelope();
                heartbeatMs.keySet().forEach(connection -> connection.push(push));
            });
        }
    }

    private void heartbeat(PeerConnection connection) {
        Integer everyMs = heartbeatMs.get(connection);
        if (everyMs != null) {
            loop.after(Duration.ofMillis(everyMs), () -> {
                if (heartbeatMs.containsKey(connection)) {
                    connection.push(envelope());
                    heartbeat(connection);
                }
            });
        }
    }

    private Envelope envelope() {
        return Envelope.newBuilder().setPositionReport(report.get()).build();
    }
}
