package org.hornbeamspread.proxy.session;

import java.time.Clock;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamspread.core.failover.CommitTracker;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.placement.PositionSamples;
import org.hornbeamspread.core.placement.PositionSamples.Sample;

/** State of a service as derived from the responses to this proxy. Confined to the engine's thread. */
final class ServiceState {
    final PositionSamples positionSamples = new PositionSamples();

    final CommitTracker commits;

    /** Send time of each write without a response, by id of the connection request. */
    final Map<Long, Long> pendingWriteSentAtMs = new HashMap<>();

    /** Whether a position probe at the primary is in flight. */
    boolean probing;

    /** Whether reads wait for a position that this proxy cannot request itself. */
    boolean needsSharedPosition;

    private long unreachableSinceMs;

    /**
     * When an instance that was treated as the primary first responded that it is not, with no proof from a primary since; 0 for
     * none.
     */
    private long notPrimarySinceMs;

    private long clockEpoch;
    private String provenPrimaryId = "";
    private long lastProofAtMs = Long.MIN_VALUE / 4;

    ServiceState(Clock clock) {
        this.commits = new CommitTracker(clock);
    }

    /** Drops the samples when a new epoch has begun, since their ages can no longer be derived from the clock. */
    void updateClockEpoch(long currentEpoch) {
        if (currentEpoch != clockEpoch) {
            clockEpoch = currentEpoch;
            positionSamples.clear();
        }
    }

    /** Records that an instance proved to be the primary in its response to a request. */
    void onPrimaryProof(String instanceId, long requestedAtMs, long requestEpoch, LogPosition position) {
        provenPrimaryId = instanceId;
        lastProofAtMs = Math.max(lastProofAtMs, requestedAtMs);
        unreachableSinceMs = 0;
        notPrimarySinceMs = 0;
        addSample(requestedAtMs, requestEpoch, position);
    }

    /** Adds a position that a proven primary reported, to this proxy or to control. */
    void addSample(long requestedAtMs, long requestEpoch, LogPosition position) {
        commits.onObserved(position);
        if (requestEpoch == clockEpoch) {
            positionSamples.add(new Sample(requestedAtMs, position));
            needsSharedPosition = false;
        }
    }

    /** Records a failed attempt to reach the primary. */
    void onPrimaryUnreachable(long nowMs) {
        if (unreachableSinceMs == 0) {
            unreachableSinceMs = nowMs;
        }
    }

    /** Records that an instance that was treated as the primary is not the primary. */
    void onNotPrimary(long nowMs) {
        if (notPrimarySinceMs == 0) {
            notPrimarySinceMs = nowMs;
        }
    }

    /** Clears the state of {@link #onNotPrimary}, once control is reachable again and reports the primary. */
    void clearNotPrimary() {
        notPrimarySinceMs = 0;
    }

    /** Since when no primary was found, because it was unreachable or was not the primary; 0 when there is one. */
    long withoutPrimarySinceMs() {
        if (unreachableSinceMs == 0 || notPrimarySinceMs == 0) {
            return Math.max(unreachableSinceMs, notPrimarySinceMs);
        }
        return Math.min(unreachableSinceMs, notPrimarySinceMs);
    }

    /** Since when attempts to reach the primary have failed; 0 after a success. */
    long unreachableSinceMs() {
        return unreachableSinceMs;
    }

    String provenPrimaryId() {
        return provenPrimaryId;
    }

    long lastProofAtMs() {
        return lastProofAtMs;
    }
}
