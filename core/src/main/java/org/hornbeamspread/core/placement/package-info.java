/** Which database instance runs a statement, and with what proof of freshness. */
package org.hornbeamspread.core.placement;
