package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.Optional;
import org.hornbeamspread.core.acknowledgement.ViewLeaseState;
import org.hornbeamspread.protocol.schema.GroupView;

/**
 * A view and its lease, published atomically so that a renewed lease is never read together with an older view.
 *
 * @param view the view
 * @param lease the lease on the view
 */
record LeasedView(ViewSnapshot view, ViewLeaseState lease) {
    /** The value before control's first response. */
    static final LeasedView NONE = new LeasedView(ViewSnapshot.NONE, ViewLeaseState.NONE);

    /** Whether the lease on the view is valid at an instant. */
    boolean isLeaseValidAt(Instant instant) {
        return lease.isValidAt(instant);
    }

    /** Whether a write of a term may be acknowledged at an instant. */
    boolean canAcknowledgeWrite(String group, long term, Instant instant) {
        Optional<GroupView> groupView = view.group(group);
        return isLeaseValidAt(instant)
                && groupView.isPresent()
                && groupView.get().getTerm() == term
                && groupView.get().getWritable();
    }
}
