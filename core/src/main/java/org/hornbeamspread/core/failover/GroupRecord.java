package org.hornbeamspread.core.failover;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * What the control log holds of a group's primary. The log is the only place where it is decided; a new control leader
 * goes on from here.
 *
 * @param group the group's name
 * @param term the term that control works at; 0 before the first promotion
 * @param primaryId the chosen primary of this term; absent while databases are being fenced
 * @param writable whether the primary is promoted and every lease on an older term is over
 */
public record GroupRecord(String group, long term, Optional<String> primaryId, boolean writable) {
    /** Checks that only a group with a primary is writable. */
    public GroupRecord {
        if (term < 0 || (writable && primaryId.isEmpty())) {
            throw new FailureException(FailureType.INTERNAL, "group record " + group + " " + term);
        }
    }

    /** The record of a group that was never promoted. */
    public static GroupRecord initial(String group) {
        return new GroupRecord(group, 0, Optional.empty(), false);
    }

    /** The start of a promotion: a higher term without a primary. */
    public GroupRecord withNewTerm(long nextTerm) {
        return new GroupRecord(group, nextTerm, Optional.empty(), false);
    }

    /** The choice of a primary at this term. */
    public GroupRecord withPrimary(String databaseId) {
        return new GroupRecord(group, term, Optional.of(databaseId), false);
    }

    /** The end of a promotion: the term is open to writes. */
    public GroupRecord asWritable() {
        return new GroupRecord(group, term, primaryId, true);
    }
}
