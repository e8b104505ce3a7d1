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
 * Renewals that wait until a majority has confirmed the leadership. One check runs at a time, for all that had arrived
 * before it; what arrives meanwhile waits for the next. Confined to the coordinator's thread.
 */
final class RenewalQueue {
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(2);

    private final ReplicatedLog log;
    private final Clock clock;
    private final Consumer<ControlEvent> events;
    private List<Renewal> pending = new ArrayList<>();

    /** When the running check counts as lost; null while none runs. */
    private Instant checkDeadline;

    RenewalQueue(ReplicatedLog log, Clock clock, Consumer<ControlEvent> events) {
        this.log = log;
        this.clock = clock;
        this.events = events;
    }

    void add(Renewal renewal) {
        pending.add(renewal);
    }

    /** Starts a check if renewals wait and none runs; LeadershipChecked tells its outcome. */
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

    /** The running check told its outcome. */
    void completeCheck() {
        checkDeadline = null;
    }

    /** Empties the queue. */
    List<Renewal> takeAll() {
        List<Renewal> all = pending;
        pending = new ArrayList<>();
        return all;
    }
}
