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
    private static final int MAX_ENTRIES = 256;
    private static final int WAIT_MS = 300;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    private final DatabaseSettings settings;
    private final DatabaseState state;
    private final DecisionLoop loop;
    private final PeerTransport transport;
    private final Runnable onChange;
    private Follow target = Follow.getDefaultInstance();
    private long epoch;
    private boolean accepted;
    private int setAsideEntries;

    /** Where the next request starts: the last entry that was received, perhaps not appended yet. */
    private LogPosition received = LogPosition.NONE;

    /** Called once, when the primary's log is accepted. */
    private Consumer<Integer> onAccepted = ignored -> {};

    LogFollower(
            DatabaseSettings settings,
            DatabaseState state,
            DecisionLoop loop,
            PeerTransport transport,
            Runnable onChange) {
        this.settings = settings;
        this.state = state;
        this.loop = loop;
        this.transport = transport;
        this.onChange = onChange;
    }

    /** Whether it follows this primary at this term already. */
    boolean follows(Follow request) {
        return request.equals(target);
    }

    /** Follows a primary. The callback gets the number of entries that were set aside, once the log is accepted. */
    void follow(Follow request, Consumer<Integer> whenAccepted) {
        if (follows(request)) {
            if (accepted) {
                whenAccepted.accept(setAsideEntries);
            } else {
                onAccepted = onAccepted.andThen(whenAccepted);
            }
            return;
        }
        stop();
        target = request;
        onAccepted = whenAccepted;
        received = state.end();
        open(epoch);
    }

    /** Stops, as after a fence. */
    void stop() {
        epoch++;
        target = Follow.getDefaultInstance();
        accepted = false;
        setAsideEntries = 0;
        onAccepted = ignored -> {};
    }

    private void open(long at) {
        if (at != epoch) {
            return;
        }
        Endpoint primary = target.getPrimary();
        transport
                .connect(primary, TIMEOUT, (connection, request, answer) -> {})
                .whenComplete((connection, error) -> loop.submit(() -> {
                    if (error != null) {
                        loop.after(RETRY_PAUSE, () -> open(at));
                    } else {
                        pull(at, connection);
                    }
                }));
    }

    private void pull(long at, PeerConnection connection) {
        if (at != epoch) {
            connection.close();
            return;
        }
        Envelope request = Envelope.newBuilder()
                .setReadLog(ReadLog.newBuilder()
                        .setFollowerId(settings.databaseId())
                        .setTerm(target.getTerm())
                        .setAfter(Envelopes.position(received))
                        .setMaxEntries(MAX_ENTRIES)
                        .setWaitMs(WAIT_MS))
                .build();
        connection
                .request(request, TIMEOUT)
                .whenComplete((answer, error) -> loop.submit(() -> {
                    boolean usable = error == null && answer.getLogRead().getTerm() == target.getTerm();
                    if (at == epoch && usable) {
                        take(answer.getLogRead());
                        pull(at, connection);
                    } else {
                        connection.close();
                        loop.after(RETRY_PAUSE, () -> open(at));
                    }
                }));
    }

    private void take(LogRead read) {
        if (!read.getMatches()) {
            received = state.positionAt(Math.min(read.getMatchingIndex(), received.indexEntries() - 1));
            return;
        }
        if (!accepted) {
            accepted = true;
            setAsideEntries += state.accept(target.getTerm(), received).size();
            onChange.run();
            onAccepted.accept(setAsideEntries);
        }
        List<LogEntry> entries = read.getEntriesList();
        if (entries.isEmpty()) {
            return;
        }
        received = Envelopes.position(entries.get(entries.size() - 1).getPosition());
        if (settings.replicationLagMs() == 0) {
            append(epoch, entries);
        } else {
            long at = epoch;
            loop.after(Duration.ofMillis(settings.replicationLagMs()), () -> append(at, entries));
        }
    }

    private void append(long at, List<LogEntry> entries) {
        if (at == epoch) {
            state.append(target.getTerm(), entries);
            onChange.run();
        }
    }
}
