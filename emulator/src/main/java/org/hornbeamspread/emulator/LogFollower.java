package org.hornbeamspread.emulator;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.Follow;
import org.hornbeamspread.protocol.schema.LogEntry;
import org.hornbeamspread.protocol.schema.LogRead;
import org.hornbeamspread.protocol.schema.ReadLog;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerTransport;

/**
 * Replicates the primary's log to a replica by long polling. The follower first determines the last position at which
 * both logs agree; entries after that position are delayed by the replication lag and then appended. Each Follow to
 * another target, and each stop, starts a new epoch; responses and delayed entries of earlier epochs are discarded.
 * Confined to the decision thread.
 */
final class LogFollower {
    private static final int MAX_ENTRIES_PER_READ = 256;
    private static final int LONG_POLL_MS = 300;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    private final DatabaseSettings settings;
    private final DatabaseState state;
    private final EventLoop eventLoop;
    private final PeerTransport transport;
    private final Runnable onChange;
    private Follow target = Follow.getDefaultInstance();
    private long epoch;
    private boolean logAccepted;
    private int setAsideEntries;

    /** Start position of the next request: the last entry received, which may not be appended yet. */
    private LogPosition lastReceived = LogPosition.NONE;

    /** Called once, after the primary's log is accepted, with the number of entries set aside. */
    private Consumer<Integer> onAccepted = ignored -> {};

    LogFollower(
            DatabaseSettings settings,
            DatabaseState state,
            EventLoop loop,
            PeerTransport transport,
            Runnable onChange) {
        this.settings = settings;
        this.state = state;
        this.eventLoop = loop;
        this.transport = transport;
        this.onChange = onChange;
    }

    /** Whether the follower already follows this primary at this term. */
    boolean isFollowing(Follow request) {
        return request.equals(target);
    }

    /**
     * Follows a primary. The callback receives the number of entries set aside, after the primary's log is accepted.
     */
    void follow(Follow request, Consumer<Integer> whenAccepted) {
        if (isFollowing(request)) {
            if (logAccepted) {
                whenAccepted.accept(setAsideEntries);
            } else {
                onAccepted = onAccepted.andThen(whenAccepted);
            }
            return;
        }
        stop();
        target = request;
        onAccepted = whenAccepted;
        lastReceived = state.lastPosition();
        connectToPrimary(epoch);
    }

    /** Stops following, for example after a fence. */
    void stop() {
        epoch++;
        target = Follow.getDefaultInstance();
        logAccepted = false;
        setAsideEntries = 0;
        onAccepted = ignored -> {};
    }

    private void connectToPrimary(long requestEpoch) {
        if (requestEpoch != epoch) {
            return;
        }
        Endpoint primary = target.getPrimary();
        transport
                .connect(primary, TIMEOUT, (connection, request, answer) -> {})
                .whenComplete((connection, error) -> eventLoop.submit(() -> {
                    if (error != null) {
                        eventLoop.schedule(RETRY_DELAY, () -> connectToPrimary(requestEpoch));
                    } else {
                        fetchEntries(requestEpoch, connection);
                    }
                }));
    }

    private void fetchEntries(long requestEpoch, PeerConnection connection) {
        if (requestEpoch != epoch) {
            connection.close();
            return;
        }
        Envelope request = Envelope.newBuilder()
                .setReadLog(ReadLog.newBuilder()
                        .setFollowerId(settings.databaseId())
                        .setTerm(target.getTerm())
                        .setAfter(Envelopes.position(lastReceived))
                        .setMaxEntries(MAX_ENTRIES_PER_READ)
                        .setWaitMs(LONG_POLL_MS))
                .build();
        connection
                .request(request, TIMEOUT)
                .whenComplete((answer, error) -> eventLoop.submit(() -> {
                    boolean isValid = error == null && answer.getLogRead().getTerm() == target.getTerm();
                    if (requestEpoch == epoch && isValid) {
                        processLogRead(answer.getLogRead());
                        fetchEntries(requestEpoch, connection);
                    } else {
                        connection.close();
                        eventLoop.schedule(RETRY_DELAY, () -> connectToPrimary(requestEpoch));
                    }
                }));
    }

    private void processLogRead(LogRead read) {
        if (!read.getMatches()) {
            lastReceived = state.positionAt(Math.min(read.getMatchingIndex(), lastReceived.indexEntries() - 1));
            return;
        }
        if (!logAccepted) {
            logAccepted = true;
            setAsideEntries += state.acceptLog(target.getTerm(), lastReceived).size();
            onChange.run();
            onAccepted.accept(setAsideEntries);
        }
        List<LogEntry> entries = read.getEntriesList();
        if (entries.isEmpty()) {
            return;
        }
        lastReceived = Envelopes.position(entries.get(entries.size() - 1).getPosition());
        if (settings.replicationLagMs() == 0) {
            append(epoch, entries);
        } else {
            long requestEpoch = epoch;
            eventLoop.schedule(Duration.ofMillis(settings.replicationLagMs()), () -> append(requestEpoch, entries));
        }
    }

    private void append(long requestEpoch, List<LogEntry> entries) {
        if (requestEpoch == epoch) {
            state.append(target.getTerm(), entries);
            onChange.run();
        }
    }
}
