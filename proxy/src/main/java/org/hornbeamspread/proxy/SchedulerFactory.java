package org.hornbeamspread.proxy;

import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.DatabaseEntry;

/** Makes the scheduler of a database that this proxy takes up. */
interface SchedulerFactory {
    /** A scheduler for a database's slots and the ranks of a configuration. */
    SlotScheduler create(Configuration configuration, DatabaseEntry database);
}
