package org.hornbeamspread.proxy.session;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.placement.PositionSamples;
import org.hornbeamspread.core.placement.PositionSamples.Sample;

/** What this proxy has learned of a service from its answers. Used on the engine's thread. */
final class ServiceState {
    final PositionSamples positionSamples = new PositionSamples();

    /** When each write that waits for its answer was sent, by unit. */
    final Map<Long, Long> pendingWriteSentAtMs = new HashMap<>();

    /** Whether a question for the primary's position is under way. */
    boolean probing;

    /** Whether reads wait for a position that this proxy can't ask for itself. */
    boolean positionsWanted;

    private long unreachableSinceMs;

    /** Since when an instance that was asked has denied to lead, without a proof of another; 0 for not at all. */
    private long notPrimarySinceMs;

    private long clockEpoch;
    private String provenPrimaryId = "";
    private long lastProofAtMs = Long.MIN_VALUE / 4;

    /** Forgets ages that the clock can't prove any more. */
    void updateClockEpoch(long present) {
        if (present != clockEpoch) {
            clockEpoch = present;
            positionSamples.clear();
        }
    }

    /** An instance proved to be the primary in its answer to a question sent at a time, in an epoch. */
    void onPrimaryProof(String instanceId, long askedMs, long askedEpoch, LogPosition position) {
        provenPrimaryId = instanceId;
        lastProofAtMs = Math.max(lastProofAtMs, askedMs);
        unreachableSinceMs = 0;
        notPrimarySinceMs = 0;
        addSample(askedMs, askedEpoch, position);
    }

    /** A position that control was told by a proven primary. */
    void addSample(long askedMs, long askedEpoch, LogPosition position) {
        if (askedEpoch == clockEpoch) {
            positionSamples.add(new Sample(askedMs, position));
            positionsWanted = false;
        }
    }

    /** An attempt to reach the primary failed. */
    void onPrimaryUnreachable(long nowMs) {
        if (unreachableSinceMs == 0) {
            unreachableSinceMs = nowMs;
        }
    }

    /** An instance that was taken for the primary is not. */
    void onNotPrimary(long nowMs) {
        if (notPrimarySinceMs == 0) {
            notPrimarySinceMs = nowMs;
        }
    }

    /** Control tells who leads. */
    void clearNotPrimary() {
        notPrimarySinceMs = 0;
    }

    /** Since when no primary was found, whether out of reach or denied; 0 when one was. */
    long withoutPrimarySinceMs() {
        if (unreachableSinceMs == 0 || notPrimarySinceMs == 0) {
            return Math.max(unreachableSinceMs, notPrimarySinceMs);
        }
        return Math.min(unreachableSinceMs, notPrimarySinceMs);
    }

    /** Since when attempts to reach the primary have failed; 0 when the last one succeeded. */
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
