package org.hornbeamspread.control.consensus;

import java.time.Clock;
import java.util.Optional;
import org.hornbeamspread.core.consensus.ConsensusEvent;

/** Whether the disk keeps up with the log: a vote is sent only once it is synced. Used by the consensus thread. */
final class StorageTracker {
    private final Clock clock;
    private long lastPersistId;
    private long syncedPersistId;

    /** When the oldest unsynced write was requested, or the one before it was synced. */
    private long waitingSinceMs;

    private Optional<String> stallReason = Optional.empty();

    StorageTracker(Clock clock) {
        this.clock = clock;
    }

    void onPersist(long persistId) {
        if (lastPersistId == syncedPersistId) {
            waitingSinceMs = clock.millis();
        }
        lastPersistId = persistId;
    }

    void onEvent(ConsensusEvent event) {
        if (event instanceof ConsensusEvent.Synced synced) {
            syncedPersistId = synced.persistId();
            waitingSinceMs = clock.millis();
            stallReason = Optional.empty();
        } else if (event instanceof ConsensusEvent.StorageStalled stall) {
            stallReason = Optional.of(stall.reason().name());
        }
    }

    String describe() {
        if (lastPersistId == syncedPersistId) {
            return "synced";
        }
        return stallReason.orElse("syncing") + " for " + (clock.millis() - waitingSinceMs) + " ms";
    }
}
