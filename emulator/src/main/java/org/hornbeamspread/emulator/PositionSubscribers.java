package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.IdentityHashMap;
import java.util.function.Supplier;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.transport.PeerConnection;

/**
 * Pushes the position report to subscribers, shortly after each change and as a periodic heartbeat. Confined to the
 * decision thread.
 */
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

    /** Adds a subscriber, or changes its heartbeat interval. */
    void add(PeerConnection connection, int intervalMs) {
        boolean isNew = heartbeatIntervalsMs.put(connection, Math.max(MIN_HEARTBEAT_MS, intervalMs)) == null;
        if (isNew) {
            scheduleHeartbeat(connection);
        }
    }

    /** Removes a subscriber. */
    void remove(PeerConnection connection) {
        heartbeatIntervalsMs.remove(connection);
    }

    /** Schedules a push to all subscribers, unless one is already scheduled. */
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
        Integer intervalMs = heartbeatIntervalsMs.get(connection);
        if (intervalMs != null) {
            eventLoop.schedule(Duration.ofMillis(intervalMs), () -> {
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
