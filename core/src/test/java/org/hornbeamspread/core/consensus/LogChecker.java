package org.hornbeamspread.core.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What must hold in every history of a log. */
final class LogChecker {
    /** Who led each term. */
    private final Map<Long, String> leaderByTerm = new HashMap<>();

    private final Map<Long, LogRecord> committedByIndex = new HashMap<>();

    /** The state after each committed index. */
    private final Map<Long, Long> stateByIndex = new HashMap<>();

    private long lastCommitted;
    private Optional<Membership> committedMembership = Optional.empty();

    /** The last index that anyone applied: whoever asks for a read later must see it. */
    long lastCommitted() {
        return lastCommitted;
    }

    Optional<Membership> committedMembership() {
        return committedMembership;
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
            require(record.index() == lastCommitted + 1, "index " + record.index() + " applied before those in front");
            lastCommitted = record.index();
            committedMembership = record.membership().or(() -> committedMembership);
        }
    }

    void onRestore(long index, long state) {
        Long known = stateByIndex.get(index);
        require(known != null && known == state, "a snapshot at " + index + " differs from what was committed");
    }

    void onRead(long appliedIndex, long committedWhenAsked) {
        require(
                appliedIndex >= committedWhenAsked,
                "a read saw " + appliedIndex + " though " + committedWhenAsked + " was committed before");
    }

    static void require(boolean holds, String violation) {
        if (!holds) {
            throw new Violation(violation);
        }
    }

    /** Something that must hold did not. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }
}
