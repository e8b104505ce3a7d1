package org.hornbeamspread.control.consensus;

import java.time.Clock;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.hornbeamspread.core.misc.EventLog;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.transport.AddressTranslator;

/** The state and age of the connections to the other members, for the event log and the metrics. Thread-safe. */
final class PeerConnectionTracker {
    private final Clock clock;
    private final MemberDirectory directory;
    private final EventLog events;
    private final ConsensusMetrics metrics;
    private final RepeatFilter repeatFilter;
    private final Map<Endpoint, Attempt> latestAttempts = new ConcurrentHashMap<>();
    private final AtomicLong openings = new AtomicLong();

    PeerConnectionTracker(Clock clock, MemberDirectory directory, EventLog events, ConsensusMetrics metrics) {
        this.clock = clock;
        this.directory = directory;
        this.events = events;
        this.metrics = metrics;
        this.repeatFilter = new RepeatFilter(clock);
    }

    /** Why a connection ended. */
    enum ConnectionEnd {
        /** The peer or the network closed it. */
        LOST,
        /** The peer sent a request, which a member receives only on its listening port. */
        UNEXPECTED_REQUEST,
        /** No bytes arrived any more. */
        SILENT,
        /** This member stops. */
        SHUTDOWN
    }

    /** Called before a connection is opened. */
    Attempt onOpening(Endpoint peer) {
        Attempt attempt = new Attempt(peer);
        latestAttempts.put(peer, attempt);
        return attempt;
    }

    /** Called before a connection for snapshots is opened, which is logged and counted, but not described. */
    Attempt onOpeningForSnapshots(Endpoint peer) {
        return new Attempt(peer);
    }

    /** Called before this member closes all connections. */
    void onShutdown() {
        latestAttempts.values().forEach(attempt -> attempt.onClosing(ConnectionEnd.SHUTDOWN));
    }

    /** Called for a request that failed or timed out. */
    void onUnanswered(Endpoint peer, FailureException cause) {
        metrics.onUnanswered(memberId(peer), cause.type());
    }

    /** The state of the latest connection to a member, with its age. */
    String describe(String memberId) {
        return directory
                .find(memberId)
                .map(member -> latestAttempts.get(member.getPeer()))
                .map(Attempt::describe)
                .orElse("none");
    }

    /** The id of the member at an endpoint; the address for one that the directory no longer has. */
    private String memberId(Endpoint peer) {
        return directory.all().stream()
                .filter(member -> member.getPeer().equals(peer))
                .map(ControlMember::getMemberId)
                .findFirst()
                .orElseGet(() -> AddressTranslator.format(peer));
    }

    /** One connection, from the attempt to open it to its end. */
    final class Attempt {
        private final Endpoint peer;
        private volatile Phase phase = new Phase("opening", clock.millis(), "");
        private volatile ConnectionEnd expectedEnd = ConnectionEnd.LOST;

        private Attempt(Endpoint peer) {
            this.peer = peer;
        }

        void onOpened() {
            metrics.onConnectionOpened(memberId(peer));
            advance("open", "", openings.incrementAndGet());
        }

        void onOpenFailed(FailureException cause) {
            metrics.onConnectionClosed(memberId(peer), cause.type().name());
            // A failure is logged again only after a connection was opened, or when its cause changes.
            advance("failed", cause.getMessage(), cause.getMessage() + openings.get());
        }

        /** Sets the end to report for a connection that this member is about to close. */
        void onClosing(ConnectionEnd end) {
            expectedEnd = end;
        }

        void onClosed() {
            metrics.onConnectionClosed(memberId(peer), expectedEnd.name());
            advance("closed", expectedEnd.name(), openings.get());
        }

        private void advance(String next, String cause, Object repeatValue) {
            long ageMs = clock.millis() - phase.sinceMs;
            phase = new Phase(next, clock.millis(), cause);
            String memberId = memberId(peer);
            OptionalLong dropped = repeatFilter.admit(memberId + ' ' + next, repeatValue);
            if (dropped.isPresent()) {
                events.record(
                        "control_peer_connection",
                        "peer",
                        memberId,
                        "address",
                        AddressTranslator.format(peer),
                        "state",
                        next,
                        "age_ms",
                        ageMs,
                        "cause",
                        cause,
                        "repeats",
                        dropped.getAsLong());
            }
        }

        private String describe() {
            Phase current = phase;
            String state = current.name + " for " + (clock.millis() - current.sinceMs) + " ms";
            return current.cause.isEmpty() ? state : state + ": " + current.cause;
        }
    }

    private record Phase(String name, long sinceMs, String cause) {}
}
