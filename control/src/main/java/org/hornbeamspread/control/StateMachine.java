package org.hornbeamspread.control;

import com.google.protobuf.ByteString;
import org.hornbeamspread.protocol.schema.ControlRecord;

/** What the log's records are applied to. Called on the consensus thread only; must be deterministic. */
public interface StateMachine {
    /** Applies a committed record. */
    CommandResult apply(ControlRecord record);

    /** The whole state, for a snapshot. */
    ByteString snapshot();

    /** Replaces the state by a snapshot's. Fails with LOG_CORRUPTED. */
    void restore(ByteString snapshot);
}
