package org.hornbeamspread.core.failover;

import java.util.Optional;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * One database of a searched history, packed into a long. An entry of its log is four bits: the term, and which write it
 * is, with 0 for a marker.
 *
 * @param incarnation raised by a lost disk
 * @param registeredIncarnation what the control log holds of it
 * @param registeredTrusted what the control log holds of it
 * @param logBits four bits an entry, the first entry lowest
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

    /** Takes the primary's next entry, after the entries that differ are set aside; follows its term from then on. */
    ModelDatabase replicateFrom(ModelDatabase source) {
        int same = 0;
        while (same < Math.min(length, source.length) && entryAt(same) == source.entryAt(same)) {
            same++;
        }
        int kept = Math.min(same + 1, source.length);
        int mask = (1 << (kept * ENTRY_BITS)) - 1;
        return new ModelDatabase(
                source.term,
                false,
                source.term,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                kept,
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
        ModelDatabase longer = append(encodeEntry(term, 0));
        return new ModelDatabase(
                term,
                true,
                term,
                trusted,
                incarnation,
                registeredIncarnation,
                registeredTrusted,
                longer.length,
                longer.logBits);
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

    /** The position of the entry that is the given one of the log, counted from 1. */
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
