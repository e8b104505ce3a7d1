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
 * Pulls the primary's log into a replica. First it finds the last place where both logs agree; entries that come after
 * it are held for the replication lag and then appended. Each Follow starts a new epoch; whatever belongs to an earlier
 * one is dropped. Decision thread only.
 */
final class LogFollower {
    private static final int MAX_ENTRIES_PER_READ = 256;
    private static final int LONG_POLL_MS = 300;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);
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

    /** Where the next request starts: the last entry that was received, perhaps not appended yet. */
    private LogPosition lastReceived = LogPosition.NONE;

    /** Called once, when the primary's log is accepted. */
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

    /** Whether it follows this primary at this term already. */
    boolean isFollowing(Follow request) {
        return request.equals(target);
    }

    /** Follows a primary. The callback gets the number of entries that were set aside, once the log is accepted. */
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

    /** Stops, as after a fence. */
    void stop() {
        epoch++;
        target = Follow.getDefaultInstance();
        logAccepted = false;
        setAsideEntries = 0;
        onAccepted = ignored -> {};
    }

    private void connectToPrimary(long at) {
        if (at != epoch) {
            return;
        }
        Endpoint primary = target.getPrimary();
        transport
                .connect(primary, REQUEST_TIMEOUT, (connection, request, answer) -> {})
                .whenComplete((connection, error) -> eventLoop.submit(() -> {
                    if (error != null) {
                        eventLoop.schedule(RETRY_DELAY, () -> connectToPrimary(at));
                    } else {
                        fetchEntries(at, connection);
                    }
                }));
    }

    private void fetchEntries(long at, PeerConnection connection) {
        if (at != epoch) {
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
                .request(request, REQUEST_TIMEOUT)
                .whenComplete((answer, error) -> eventLoop.submit(() -> {
                    boolean usable = error == null && answer.getLogRead().getTerm() == target.getTerm();
                    if (at == epoch && usable) {
                        processLogRead(answer.getLogRead());
                        fetchEntries(at, connection);
                    } else {
                        connection.close();
                        eventLoop.schedule(RETRY_DELAY, () -> connectToPrimary(at));
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
            long at = epoch;
            eventLoop.schedule(Duration.ofMillis(settings.replicationLagMs()), () -> append(at, entries));
        }
    }

    private void append(long at, List<LogEntry> entries) {
        if (at == epoch) {
            state.append(target.getTerm(), entries);
            onChange.run();
        }
    }
}
