/** The control daemon: replicated log, configuration, database registry, promotions, views and leases. */
package org.hornbeamspread.control;
