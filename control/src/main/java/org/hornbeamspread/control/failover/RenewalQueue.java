package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.failover.ControlEvent.LeadershipChecked;
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
    private List<Renewal> waiting = new ArrayList<>();

    /** When the running check counts as lost; null while none runs. */
    private Instant checkEndsAt;

    RenewalQueue(ReplicatedLog log, Clock clock, Consumer<ControlEvent> events) {
        this.log = log;
        this.clock = clock;
        this.events = events;
    }

    void add(Renewal renewal) {
        waiting.add(renewal);
    }

    /** Starts a check if renewals wait and none runs; LeadershipChecked tells its outcome. */
    void check(long leaderTerm) {
        Instant now = clock.instant();
        boolean running = checkEndsAt != null && now.isBefore(checkEndsAt);
        if (running || waiting.isEmpty()) {
            return;
        }
        checkEndsAt = now.plus(CHECK_TIMEOUT);
        List<Renewal> batch = takeAll();
        log.confirmLeadership()
                .whenComplete((done, error) -> events.accept(new LeadershipChecked(leaderTerm, error == null, batch)));
    }

    /** The running check told its outcome. */
    void checkEnded() {
        checkEndsAt = null;
    }

    /** Empties the queue. */
    List<Renewal> takeAll() {
        List<Renewal> all = waiting;
        waiting = new ArrayList<>();
        return all;
    }
}
