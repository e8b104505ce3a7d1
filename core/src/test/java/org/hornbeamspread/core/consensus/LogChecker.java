package org.hornbeamspread.core.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Checks the invariants that must hold in every history of a log. */
final class LogChecker {
    /** The leader of each term. */
    private final Map<Long, String> leaderByTerm = new HashMap<>();

    private final Map<Long, LogRecord> committedByIndex = new HashMap<>();

    /** The state after each committed index. */
    private final Map<Long, Long> stateByIndex = new HashMap<>();

    private long lastCommitted;
    private Optional<Membership> committedMembership = Optional.empty();
    private int membershipChanges;

    /** The last index that any member applied; every read requested later must include it. */
    long lastCommitted() {
        return lastCommitted;
    }

    Optional<Membership> committedMembership() {
        return committedMembership;
    }

    /** The number of committed records that change the membership. */
    int membershipChanges() {
        return membershipChanges;
    }

    void onLeader(long term, String leader) {
        String first = leaderByTerm.putIfAbsent(term, leader);
        require(first == null || first.equals(leader), "term " + term + " has leaders " + first + " and " + leader);
    }

    void onApply(LogRecord record, long state) {
        LogRecord first = committedByIndex.putIfAbsent(record.index(), record);
        require(
                first == null || first.equals(record),
                "index " + record.index() + " was " + first + " and became " + record);
        stateByIndex.put(record.index(), state);
        if (record.index() > lastCommitted) {
            require(record.index() == lastCommitted + 1, "index " + record.index() + " applied before earlier indexes");
            lastCommitted = record.index();
            membershipChanges += record.membership().isPresent() ? 1 : 0;
            committedMembership = record.membership().or(() -> committedMembership);
        }
    }

    void onRestore(long index, long state) {
        Long known = stateByIndex.get(index);
        require(known != null && known == state, "a snapshot at " + index + " differs from the committed state");
    }

    void onRead(long appliedIndex, long committedAtRequest) {
        require(
                appliedIndex >= committedAtRequest,
                "a read returned the state at index " + appliedIndex + " though " + committedAtRequest
                        + " was committed before the read");
    }

    static void require(boolean holds, String violation) {
        if (!holds) {
            throw new Violation(violation);
        }
    }

    /** An invariant was violated. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }
}
