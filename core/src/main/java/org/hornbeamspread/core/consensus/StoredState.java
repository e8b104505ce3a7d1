package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The state that a member reads from its disk at its start.
 *
 * @param incarnation a number drawn when the disk was empty
 * @param initialMembership the members that the log was bootstrapped with, if this member took part in the bootstrap
 * @param term the highest term received
 * @param votedFor the candidate that received this member's vote in that term, if any
 * @param snapshot the latest snapshot, {@link Snapshot#NONE} if there is none
 * @param baseIndex the index before the first record
 * @param baseTerm the term at that index
 * @param records the records after the base, without gaps
 */
public record StoredState(
        long incarnation,
        Optional<Membership> initialMembership,
        long term,
        Optional<String> votedFor,
        Snapshot snapshot,
        long baseIndex,
        long baseTerm,
        List<LogRecord> records) {
    /** Copies the list. */
    public StoredState {
        records = List.copyOf(records);
    }

    /** The state of an empty disk. */
    public static StoredState blank(long incarnation) {
        return new StoredState(incarnation, Optional.empty(), 0, Optional.empty(), Snapshot.NONE, 0, 0, List.of());
    }
}
