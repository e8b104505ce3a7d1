package org.hornbeamspread.core.failover;

import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * One database in the model checker, which can be packed into a long. A log entry takes four bits and combines its term
 * with the number of the write; write 0 is the marker that starts a term.
 *
 * @param incarnation incremented by the loss of the disk
 * @param registeredIncarnation the incarnation registered in the control log
 * @param registeredTrusted whether the control log registers the database as trusted
 * @param logBits the log, four bits per entry, the first entry in the lowest bits
 */
record ModelDatabase(
        int term,
        boolean primary,
        int followedTerm,
        boolean trusted,
        int incarnation,
        int registeredIncarnation,
        boolean registeredTrusted,
        int length,
        int logBits) {
    static final int WRITES = 3;
    private static final int ENTRY_BITS = 4;
    private static final int ENTRY_MASK = 15;

    static ModelDatabase initial(boolean primary) {
        return new ModelDatabase(1, primary, 1, true, 1, 1, true, 1, encodeEntry(1, 0));
    }

    static int encodeEntry(int term, int write) {
        return term * WRITES + write;
    }

    static ModelDatabase unpack(long packed) {
        return new ModelDatabase(
                (int) (packed & 7),
                (packed >> 3 & 1) == 1,
                (int) (packed >> 4 & 7),
                (packed >> 7 & 1) == 1,
                (int) (packed >> 8 & 3),
                (int) (packed >> 10 & 3),
                (packed >> 12 & 1) == 1,
                (int) (packed >> 13 & 7),
                (int) (packed >> 16));
    }

    long pack() {
        return term
                | bit(primary) << 3
                | (long) followedTerm << 4
                | bit(trusted) << 7
                | (long) incarnation << 8
                | (long) registeredIncarnation << 10
                | bit(registeredTrusted) << 12
                | (long) length << 13
                | (long) logBits << 16;
    }

    int entryAt(int index) {
        return logBits >> (index * ENTRY_BITS) & ENTRY_MASK;
    }

    boolean holdsWrite(int write) {
        for (int i = 0; i < length; i++) {
            if (entryAt(i) % WRITES == write) {
                return true;
            }
        }
        return false;
    }

    ModelDatabase append(int entry) {
        return withLog(length + 1, logBits | entry << (length * ENTRY_BITS));
    }

    /** Truncates entries that differ from the primary's log, appends its next entry and follows the primary's term. */
    ModelDatabase replicateFrom(ModelDatabase source) {
        int commonLength = 0;
        while (commonLength < Math.min(length, source.length)
                && entryAt(commonLength) == source.entryAt(commonLength)) {
            commonLength++;
        }
        int newLength = Math.min(commonLength + 1, source.length);
        int mask = (1 << (newLength * ENTRY_BITS)) - 1;
        return new ModelDatabase(
                source.term,
                false,
                source.term,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                newLength,
                source.logBits & mask);
    }

    ModelDatabase withFence(int newTerm) {
        return new ModelDatabase(
                newTerm,
                false,
                followedTerm,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                length,
                logBits);
    }

    ModelDatabase withPromotion() {
        ModelDatabase withMarker = append(encodeEntry(term, 0));
        return new ModelDatabase(
                term,
                true,
                term,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                withMarker.length,
                withMarker.logBits);
    }

    ModelDatabase withDiskLost() {
        return new ModelDatabase(0, false, 0, false, incarnation + 1, registeredIncarnation, registeredTrusted, 0, 0);
    }

    ModelDatabase withRegistration(Registration registration) {
        return new ModelDatabase(
                term,
                primary,
                followedTerm,
                registration.trusted(),
                incarnation,
                (int) registration.incarnation(),
                registration.trusted(),
                length,
                logBits);
    }

    DatabaseStatus status(int index) {
        DatabaseRole role = primary ? DatabaseRole.PRIMARY : DatabaseRole.REPLICA;
        return new DatabaseStatus(
                name(index), incarnation, term, role, followedTerm, position(length), marker(), trusted);
    }

    Registration registration(int index) {
        return new Registration(name(index), registeredIncarnation, registeredTrusted);
    }

    /** The position of the last of the given number of entries; NONE for 0. */
    LogPosition position(int count) {
        return count == 0 ? LogPosition.NONE : new LogPosition(entryAt(count - 1) / WRITES, count);
    }

    static String name(int index) {
        return "d" + index;
    }

    private Optional<LogPosition> marker() {
        for (int i = 0; primary && i < length; i++) {
            if (entryAt(i) == encodeEntry(term, 0)) {
                return Optional.of(position(i + 1));
            }
        }
        return Optional.empty();
    }

    private ModelDatabase withLog(int newLength, int newBits) {
        return new ModelDatabase(
                term,
                primary,
                followedTerm,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                newLength,
                newBits);
    }

    private static long bit(boolean value) {
        return value ? 1 : 0;
    }
}
