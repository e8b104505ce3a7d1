package org.hornbeamspread.core.consensus;

/** What a leader knows of another member. */
final class Progress {
    final String memberId;

    /** The incarnation that answers at present; 0 until the first answer. */
    long incarnation;

    /** The next record to send. */
    long nextIndex;

    /** The last record known to match and to be synced there. */
    long matchIndex;

    /** The latest round answered. */
    long ackedRound;

    long lastContactMs;

    /** The last record of an append on its way; 0 when there is none. */
    long inFlightIndex;

    /** When the append or the snapshot on its way is given up. */
    long inFlightDeadlineMs;

    boolean snapshotInFlight;

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

    /** Forgets what another incarnation had. */
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
