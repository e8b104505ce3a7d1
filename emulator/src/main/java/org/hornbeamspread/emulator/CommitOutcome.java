package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.StatementResult;

/**
 * The result of a commit.
 *
 * @param results the results of the statements; when replayed, those of the first execution
 * @param position the position of the commit's log entry; without writes, the log position that was read
 * @param replayed whether the idempotency key was already in the log, so that no statement was executed
 */
record CommitOutcome(List<StatementResult> results, LogPosition position, boolean replayed) {
    CommitOutcome {
        results = List.copyOf(results);
    }
}
