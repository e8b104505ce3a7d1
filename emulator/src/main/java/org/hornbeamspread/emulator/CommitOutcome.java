package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.StatementResult;

/**
 * What a commit came to.
 *
 * @param results the results of the statements, those of the first run when replayed
 * @param position the commit's entry, or the state that was read
 * @param replayed whether the idempotency key was in the log already and nothing ran
 */
record CommitOutcome(List<StatementResult> results, LogPosition position, boolean replayed) {
    CommitOutcome {
        results = List.copyOf(results);
    }
}
