/** The control leader: failure detection, promotions, holder assignment, and the commands sent to databases. */
package org.hornbeamspread.control.failover;
