/** Routes, the registry of announced databases and the promotions of groups with synchronous replication. */
package org.hornbeamspread.control.routes;
