package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.failover.ControlEvent.LeadershipCheckCompleted;
import org.hornbeamspread.control.failover.ControlEvent.Renewal;

/**
 * Renewals that wait until a majority has confirmed the leadership. One check runs at a time and covers all renewals
 * that arrived before its start; renewals that arrive during a check wait for the next one. Confined to the
 * coordinator's thread.
 */
final class RenewalQueue {
    /** Time after which a check without a result is given up. */
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(2);

    private final ReplicatedLog log;
    private final Clock clock;
    private final Consumer<ControlEvent> events;
    private List<Renewal> pending = new ArrayList<>();

    /** When the running check is given up, so that the next one may start; null while none runs. */
    private Instant checkDeadline;

    RenewalQueue(ReplicatedLog log, Clock clock, Consumer<ControlEvent> events) {
        this.log = log;
        this.clock = clock;
        this.events = events;
    }

    void add(Renewal renewal) {
        pending.add(renewal);
    }

    /** Starts a check if renewals are pending and no check runs. LeadershipCheckCompleted carries the result. */
    void startCheck(long leaderTerm) {
        Instant now = clock.instant();
        boolean running = checkDeadline != null && now.isBefore(checkDeadline);
        if (running || pending.isEmpty()) {
            return;
        }
        checkDeadline = now.plus(CHECK_TIMEOUT);
        List<Renewal> batch = takeAll();
        log.confirmLeadership()
                .whenComplete(
                        (done, error) -> events.accept(new LeadershipCheckCompleted(leaderTerm, error == null, batch)));
    }

    /** Called when the result of the running check has arrived. */
    void completeCheck() {
        checkDeadline = null;
    }

    /** Removes and returns all pending renewals. */
    List<Renewal> takeAll() {
        List<Renewal> all = pending;
        pending = new ArrayList<>();
        return all;
    }
}
