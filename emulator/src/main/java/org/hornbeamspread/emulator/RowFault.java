package org.hornbeamspread.emulator;

import java.util.List;
import org.hornbeamspread.protocol.schema.Statement;

/** A deliberate fault in how committed writes reach the rows, so that a checker of the rows can be shown to find it. */
interface RowFault {
    /** Called after an entry's writes were applied; {@code appliedWrites} counts the entries with writes so far. */
    void afterApply(RowStore rows, List<Statement> writes, long appliedWrites);

    /** No fault. */
    static RowFault none() {
        return (rows, writes, appliedWrites) -> {};
    }

    /** Removes the first row that the entry number {@code atWrites} wrote, from the rows and not from the log. */
    static RowFault dropAcknowledgedRow(long atWrites) {
        return (rows, writes, appliedWrites) -> {
            if (appliedWrites == atWrites) {
                Statement first = writes.get(0);
                rows.remove(first.getArguments(0), first.getArguments(1));
            }
        };
    }
}
