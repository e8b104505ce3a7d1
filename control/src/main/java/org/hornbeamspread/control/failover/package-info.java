/** Runs the decisions of a control leader: detection, promotions and assignments, and the commands to databases. */
package org.hornbeamspread.control.failover;
