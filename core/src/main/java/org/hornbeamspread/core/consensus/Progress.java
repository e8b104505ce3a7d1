package org.hornbeamspread.core.consensus;

/** The replication progress of another member, as tracked by the leader. */
final class Progress {
    final String memberId;

    /** The incarnation in the last response; 0 until the first response. */
    long incarnation;

    /** The index of the next record to send. */
    long nextIndex;

    /** The last index acknowledged as matching and synced by the member. */
    long matchIndex;

    /** The latest round of appends that the member acknowledged. */
    long ackedRound;

    long lastContactMs;

    /** The last index of the append in flight; 0 when there is none. */
    long inFlightIndex;

    /** The time at which the append or snapshot in flight is considered lost. */
    long inFlightDeadlineMs;

    boolean snapshotInFlight;

    /** Until when the member does not substitute for a silent voter, since it was substituted itself. */
    long heldBackUntilMs = Long.MIN_VALUE;

    /** Until when the departure that the member announced applies. */
    long departingUntilMs = Long.MIN_VALUE;

    Progress(String memberId, long nextIndex, long nowMs) {
        this.memberId = memberId;
        this.nextIndex = nextIndex;
        this.lastContactMs = nowMs;
    }

    boolean hasRequestInFlight(long nowMs) {
        if (nowMs >= inFlightDeadlineMs) {
            inFlightIndex = 0;
            snapshotInFlight = false;
        }
        return inFlightIndex > 0 || snapshotInFlight;
    }

    /** Discards the progress of the previous incarnation. */
    void reset(long newIncarnation, long newNextIndex) {
        incarnation = newIncarnation;
        nextIndex = newNextIndex;
        matchIndex = 0;
        ackedRound = 0;
        inFlightIndex = 0;
        snapshotInFlight = false;
    }

    void onMatch(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        if (inFlightIndex > 0 && matchIndex >= inFlightIndex) {
            inFlightIndex = 0;
        }
    }

    void onMismatch(long hintIndex) {
        inFlightIndex = 0;
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hintIndex + 1));
    }
}
