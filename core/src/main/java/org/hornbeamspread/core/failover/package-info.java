/** Failover of database groups: failure detection, fencing, selection and promotion of a primary, opening of a new term. */
package org.hornbeamspread.core.failover;
