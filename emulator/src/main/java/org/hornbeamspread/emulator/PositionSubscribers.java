package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.function.Supplier;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.transport.PeerConnection;

/** Pushes the position report to subscribers: soon after a change, and as a heartbeat. Decision thread only. */
final class PositionSubscribers {
    private static final Duration COALESCE_DELAY = Duration.ofMillis(1);
    private static final int MIN_HEARTBEAT_MS = 20;

    private final EventLoop eventLoop;
    private final Supplier<PositionReport> report;
    private final IdentityHashMap<PeerConnection, Integer> heartbeatIntervalsMs = new IdentityHashMap<>();
    private boolean pushScheduled;

    PositionSubscribers(EventLoop loop, Supplier<PositionReport> report) {
        this.eventLoop = loop;
        this.report = report;
    }

    /** Adds a subscriber, or changes its heartbeat. */
    void add(PeerConnection connection, int everyMs) {
        boolean isNew = heartbeatIntervalsMs.put(connection, Math.max(MIN_HEARTBEAT_MS, everyMs)) == null;
        if (isNew) {
            scheduleHeartbeat(connection);
        }
    }

    /** Forgets a subscriber. */
    void remove(PeerConnection connection) {
        heartbeatIntervalsMs.remove(connection);
    }

    /** Plans a push to everybody. */
    void schedulePush() {
        if (!pushScheduled && !heartbeatIntervalsMs.isEmpty()) {
            pushScheduled = true;
            eventLoop.schedule(COALESCE_DELAY, () -> {
                pushScheduled = false;
                Envelope push = reportEnvelope();
                heartbeatIntervalsMs.keySet().forEach(connection -> connection.push(push));
            });
        }
    }

    private void scheduleHeartbeat(PeerConnection connection) {
        Integer everyMs = heartbeatIntervalsMs.get(connection);
        if (everyMs != null) {
            eventLoop.schedule(Duration.ofMillis(everyMs), () -> {
                if (heartbeatIntervalsMs.containsKey(connection)) {
                    connection.push(reportEnvelope());
                    scheduleHeartbeat(connection);
                }
            });
        }
    }

    private Envelope reportEnvelope() {
        return Envelope.newBuilder().setPositionReport(report.get()).build();
    }
}
