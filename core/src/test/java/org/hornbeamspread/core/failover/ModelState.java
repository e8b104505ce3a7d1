package org.hornbeamspread.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamspread.core.membership.DatabaseStatus;

/**
 * A state of the model checker: three packed databases, the group's record in the control log, and counters of past
 * events.
 *
 * @param primaryIndex the record's primary; {@link #NONE} for none
 * @param acknowledged a bit for each acknowledged write
 * @param promotions the number of promotions started
 * @param delayedPromotionTerm the term of a promote command that is still in flight, possibly after control abandoned
 *     that promotion; 0 for none
 * @param delayedPromotionIndex the database to which the command in flight is addressed
 */
record ModelState(
        long first,
        long second,
        long third,
        int term,
        int primaryIndex,
        boolean writable,
        int acknowledged,
        int writes,
        int promotions,
        int diskLosses,
        int delayedPromotionTerm,
        int delayedPromotionIndex) {
    static final int DATABASES = 3;
    static final int NONE = -1;
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final String GROUP = "g";

    static ModelState initial() {
        long replica = ModelDatabase.initial(false).pack();
        return new ModelState(ModelDatabase.initial(true).pack(), replica, replica, 1, 0, true, 0, 0, 0, 0, 0, 0);
    }

    ModelDatabase database(int index) {
        return ModelDatabase.unpack(index == 0 ? first : index == 1 ? second : third);
    }

    ModelState with(int index, ModelDatabase database) {
        long packed = database.pack();
        return new ModelState(
                index == 0 ? packed : first,
                index == 1 ? packed : second,
                index == 2 ? packed : third,
                term,
                primaryIndex,
                writable,
                acknowledged,
                writes,
                promotions,
                diskLosses,
                delayedPromotionTerm,
                delayedPromotionIndex);
    }

    ModelState withRecord(GroupRecord record) {
        int newPromotions = record.term() > term ? promotions + 1 : promotions;
        int index = record.primaryId().map(ModelState::indexOf).orElse(NONE);
        return new ModelState(
                first,
                second,
                third,
                (int) record.term(),
                index,
                record.writable(),
                acknowledged,
                writes,
                newPromotions,
                diskLosses,
                delayedPromotionTerm,
                delayedPromotionIndex);
    }

    ModelState withAcknowledged(int write) {
        return new ModelState(
                first,
                second,
                third,
                term,
                primaryIndex,
                writable,
                acknowledged | 1 << write,
                writes,
                promotions,
                diskLosses,
                delayedPromotionTerm,
                delayedPromotionIndex);
    }

    ModelState withCounters(int newWrites, int newLosses) {
        return new ModelState(
                first,
                second,
                third,
                term,
                primaryIndex,
                writable,
                acknowledged,
                newWrites,
                promotions,
                newLosses,
                delayedPromotionTerm,
                delayedPromotionIndex);
    }

    ModelState withDelayedPromotion(int newTerm, int newIndex) {
        return new ModelState(
                first,
                second,
                third,
                term,
                primaryIndex,
                writable,
                acknowledged,
                writes,
                promotions,
                diskLosses,
                newTerm,
                newIndex);
    }

    ModelState withoutCounters() {
        return new ModelState(first, second, third, term, primaryIndex, writable, 0, 0, 0, 0, 0, 0);
    }

    GroupRecord record() {
        Optional<String> primaryId =
                primaryIndex == NONE ? Optional.empty() : Optional.of(ModelDatabase.name(primaryIndex));
        return new GroupRecord(GROUP, term, primaryId, writable);
    }

    FailoverInput input(Map<String, Long> suspected) {
        List<DatabaseStatus> statuses = new ArrayList<>();
        Map<String, Registration> registrations = new HashMap<>();
        for (int i = 0; i < DATABASES; i++) {
            statuses.add(database(i).status(i));
            registrations.put(ModelDatabase.name(i), database(i).registration(i));
        }
        return new FailoverInput(
                record(), DATABASES, statuses, registrations, suspected, Set.of(), Map.of(), () -> true);
    }

    /** Mixes the packed databases; the default hash code of records collides often for packed bits. */
    @Override
    public int hashCode() {
        long hash = first * HASH_MULTIPLIER;
        hash = (hash ^ (hash >>> 32) ^ second) * HASH_MULTIPLIER;
        hash = (hash ^ (hash >>> 32) ^ third) * HASH_MULTIPLIER;
        int scalars = (((term * 4 + primaryIndex) * 2 + (writable ? 1 : 0)) * 8 + acknowledged) * 4 + writes;
        hash = (hash
                        ^ (hash >>> 32)
                        ^ ((((scalars * 8L + promotions) * 8L + diskLosses) * 8L + delayedPromotionTerm) * 4L
                                + delayedPromotionIndex))
                * HASH_MULTIPLIER;
        return (int) (hash >>> 32);
    }

    /** Whether the record's primary acts as primary at the record's term and lacks an acknowledged write. */
    boolean lacksAcknowledgedWrite() {
        if (primaryIndex == NONE) {
            return false;
        }
        ModelDatabase primary = database(primaryIndex);
        if (!primary.primary() || primary.term() != term) {
            return false;
        }
        for (int write = 1; write < ModelDatabase.WRITES; write++) {
            if ((acknowledged & 1 << write) != 0 && !primary.holdsWrite(write)) {
                return true;
            }
        }
        return false;
    }

    static int indexOf(String databaseId) {
        return databaseId.charAt(1) - '0';
    }
}
