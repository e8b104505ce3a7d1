/** Failover of database groups: failure detection, fencing, and selection and promotion of a new primary. */
package org.hornbeamspread.core.failover;
