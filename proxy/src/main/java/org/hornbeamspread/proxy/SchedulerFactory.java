package org.hornbeamspread.proxy;

import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.DatabaseEntry;

/** Creates the slot scheduler of a database when this proxy becomes its holder. */
interface SchedulerFactory {
    /** Creates a scheduler for a database's slots and the ranks of a configuration. */
    SlotScheduler create(Configuration configuration, DatabaseEntry database);
}
