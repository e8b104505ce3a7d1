package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.Optional;
import org.hornbeamspread.core.acknowledgement.ViewLeaseState;
import org.hornbeamspread.protocol.schema.GroupView;

/**
 * A view together with the lease on it, published as one so that a renewed lease is never read with an older view.
 *
 * @param view the view
 * @param lease the lease on it
 */
record LeasedView(ViewSnapshot view, ViewLeaseState lease) {
    /** Before control's first answer. */
    static final LeasedView NONE = new LeasedView(ViewSnapshot.NONE, ViewLeaseState.NONE);

    /** Whether the view may be trusted at a moment. */
    boolean isFreshAt(Instant moment) {
        return lease.isValidAt(moment);
    }

    /** Whether a write of a term may be acknowledged at a moment. */
    boolean canAcknowledgeWrite(String group, long term, Instant moment) {
        Optional<GroupView> groupView = view.group(group);
        return isFreshAt(moment)
                && groupView.isPresent()
                && groupView.get().getTerm() == term
                && groupView.get().getWritable();
    }
}
