package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.protocol.schema.Statement;

/**
 * A fault injected into the application of committed writes to the rows, to verify that row checks detect lost writes.
 */
interface RowFault {
    /** Called after the writes of an entry are applied; {@code appliedWrites} counts the entries with writes so far. */
    void afterApply(RowStore rows, List<Statement> writes, long appliedWrites);

    /** No fault. */
    static RowFault none() {
        return (rows, writes, appliedWrites) -> {};
    }

    /** Removes the first row written by entry number {@code atWrites} from the rows, but not from the log. */
    static RowFault dropAcknowledgedRow(long atWrites) {
        return (rows, writes, appliedWrites) -> {
            if (appliedWrites == atWrites) {
                Statement first = writes.get(0);
                rows.remove(first.getArguments(0), first.getArguments(1));
            }
        };
    }
}
