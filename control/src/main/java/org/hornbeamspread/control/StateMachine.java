package org.hornbeamspread.control;

import com.google.protobuf.ByteString;
import org.hornbeamspread.protocol.schema.ControlRecord;

/** The state machine that the records of the log are applied to. Called on the consensus thread only; deterministic. */
public interface StateMachine {
    /** Applies a committed record. */
    CommandResult apply(ControlRecord record);

    /** The whole state, for a snapshot. */
    ByteString snapshot();

    /** Replaces the state by the state in a snapshot. Fails with LOG_CORRUPTED when the snapshot is invalid. */
    void restore(ByteString snapshot);
}
