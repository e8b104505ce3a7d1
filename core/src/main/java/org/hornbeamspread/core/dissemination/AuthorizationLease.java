package org.hornbeamspread.core.dissemination;

import java.time.Clock;
import org.hornbeamspread.core.misc.ClockJumpDetector;

/**
 * The time for which a proxy may admit callers by the keys of its configuration.
 *
 * <p>Guards against a key that is still accepted after it was revoked, by a proxy that does not receive the new configuration: one that
 * is cut off from control, or that stood still. Each update of a control leader states when a majority last confirmed the leader. No later
 * configuration had been accepted by then, so the keys stay valid for a fixed time from there. The time is measured by the monotonic
 * clock, which stands still while a machine is suspended: any jump of the clocks against each other ends the lease. Confined to one
 * thread.
 */
public final class AuthorizationLease {
    private final long durationMs;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private long expiresAtMs = Long.MIN_VALUE / 2;
    private long epoch;

    /**
     * Creates a lease that has expired.
     *
     * @param durationMs how long keys are valid after a confirmation; 0 if they are valid until a configuration revokes them
     * @param clock a monotonic clock
     */
    public AuthorizationLease(long durationMs, Clock clock, ClockJumpDetector clockJumpDetector) {
        this.durationMs = durationMs;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
    }

    /**
     * Extends the lease, if the confirmation is later than those before.
     *
     * @param confirmedAtMs a lower bound of the time of the confirmation, on this process's clock
     * @param confirmedEpoch the epoch of the clocks in which that time was measured; one that has ended extends nothing
     */
    public void extend(long confirmedAtMs, long confirmedEpoch) {
        long currentEpoch = clockJumpDetector.epoch();
        if (confirmedEpoch != currentEpoch) {
            return;
        }
        long candidateMs = confirmedAtMs + durationMs;
        expiresAtMs = epoch == currentEpoch ? Math.max(expiresAtMs, candidateMs) : candidateMs;
        epoch = currentEpoch;
    }

    /** Whether callers may be admitted by their keys. */
    public boolean isValid() {
        return durationMs == 0 || remainingMs() > 0;
    }

    /** Whether less than half of the duration remains. */
    public boolean isRenewalDue() {
        return durationMs > 0 && remainingMs() < durationMs / 2;
    }

    private long remainingMs() {
        return epoch == clockJumpDetector.epoch() ? Math.max(0, expiresAtMs - clock.millis()) : 0;
    }
}
