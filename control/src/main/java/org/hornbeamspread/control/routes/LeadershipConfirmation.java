package org.hornbeamspread.control.routes;

import java.time.Clock;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.core.misc.ClockJumpDetector;

/**
 * When a majority last confirmed that this member leads, so that no other leader had accepted anything by then. Proxies derive from it how
 * long the keys of their configuration are valid. Confined to the routes thread.
 */
final class LeadershipConfirmation {
    /** A fraction of the shortest time for which keys are valid. */
    private static final long INTERVAL_MS = 150;

    private final ReplicatedLog log;
    private final LongSupplier configurationVersion;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final Executor routesThread;
    private OptionalLong confirmedAtMs = OptionalLong.empty();

    /** The latest configuration that may have been accepted when the last confirmation started. */
    private long confirmedVersion;

    private long epoch;
    private long lastStartedAtMs = Long.MIN_VALUE / 2;

    /** Incremented when earlier confirmations no longer count. */
    private long generation;

    /**
     * Creates a state without confirmation.
     *
     * @param configurationVersion the version of the configuration that this member has applied
     * @param clock a monotonic clock
     */
    LeadershipConfirmation(
            ReplicatedLog log,
            LongSupplier configurationVersion,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            Executor routesThread) {
        this.log = log;
        this.configurationVersion = configurationVersion;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
        this.routesThread = routesThread;
    }

    /** Drops the confirmations of an earlier lead. */
    void reset() {
        generation++;
        confirmedAtMs = OptionalLong.empty();
        lastStartedAtMs = Long.MIN_VALUE / 2;
    }

    /** Starts a confirmation when one is due. */
    void tick() {
        dropAfterClockJump();
        long startedAtMs = clock.millis();
        if (startedAtMs - lastStartedAtMs < INTERVAL_MS) {
            return;
        }
        lastStartedAtMs = startedAtMs;
        long startedGeneration = generation;
        log.confirmLeadership().whenComplete((confirmed, error) -> {
            if (error == null) {
                // By the end of the round whatever had been accepted at its start is applied; at its start a new leader
                // may not yet have
                // applied all that its predecessor accepted.
                long version = configurationVersion.getAsLong();
                routesThread.execute(() -> onConfirmed(startedGeneration, startedAtMs, version));
            }
        });
    }

    /**
     * When the lead was last confirmed; empty if it is not known, or if a later configuration had been accepted than the one given.
     *
     * @param version the version of the configuration that the receiver has
     */
    OptionalLong confirmedAtMs(long version) {
        dropAfterClockJump();
        return version >= confirmedVersion ? confirmedAtMs : OptionalLong.empty();
    }

    /** Whether the lead was confirmed within a time. */
    boolean isConfirmedWithin(long durationMs) {
        dropAfterClockJump();
        return confirmedAtMs.isPresent() && clock.millis() - confirmedAtMs.getAsLong() <= durationMs;
    }

    private void onConfirmed(long startedGeneration, long startedAtMs, long version) {
        dropAfterClockJump();
        if (startedGeneration == generation) {
            confirmedAtMs = OptionalLong.of(Math.max(startedAtMs, confirmedAtMs.orElse(startedAtMs)));
            confirmedVersion = Math.max(confirmedVersion, version);
        }
    }

    /** While a machine is suspended its monotonic clock stands still, so that the age of a confirmation is not known. */
    private void dropAfterClockJump() {
        long currentEpoch = clockJumpDetector.epoch();
        if (currentEpoch != epoch) {
            epoch = currentEpoch;
            reset();
        }
    }
}
