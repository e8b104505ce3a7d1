package org.hornbeamspread.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member finds on its disk when it starts.
 *
 * @param incarnation drawn when the disk was empty
 * @param formed the members that the log was formed with, if this member took part in that
 * @param term the highest term seen
 * @param votedFor whom it voted for in that term
 * @param snapshot the latest snapshot, {@link Snapshot#NONE} without one
 * @param baseIndex the index before the first record
 * @param baseTerm the term at that index
 * @param records the records behind the base, without gaps
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

    /** Of an empty disk. */
    public static StoredState blank(long incarnation) {
        return new StoredState(incarnation, Optional.empty(), 0, Optional.empty(), Snapshot.NONE, 0, 0, List.of());
    }
}
