package org.hornbeamspread.core.failover;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The state of a group's primary in the control log. The primary is decided only by records of this log; a new control
 * leader continues from the latest record.
 *
 * @param group the group's name
 * @param term the current term of the group; 0 before the first promotion
 * @param primaryId the chosen primary of the term; absent while databases are being fenced
 * @param writable whether the primary is promoted and every lease on an older term has expired
 */
public record GroupRecord(String group, long term, Optional<String> primaryId, boolean writable) {
    /** Validates that the term is not negative and that a writable group has a primary. */
    public GroupRecord {
        if (term < 0 || (writable && primaryId.isEmpty())) {
            throw new FailureException(FailureType.INTERNAL, "invalid record of group " + group + " at term " + term);
        }
    }

    /** The record of a group without any promotion yet. */
    public static GroupRecord initial(String group) {
        return new GroupRecord(group, 0, Optional.empty(), false);
    }

    /** The record that starts a promotion: a higher term without a primary. */
    public GroupRecord withNewTerm(long nextTerm) {
        return new GroupRecord(group, nextTerm, Optional.empty(), false);
    }

    /** The record that sets the primary of the current term. */
    public GroupRecord withPrimary(String databaseId) {
        return new GroupRecord(group, term, Optional.of(databaseId), false);
    }

    /** The record that completes a promotion: the term is writable. */
    public GroupRecord asWritable() {
        return new GroupRecord(group, term, primaryId, true);
    }
}
