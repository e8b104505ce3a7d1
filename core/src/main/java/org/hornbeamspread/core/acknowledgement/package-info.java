/** Quorum tracking and view leases, which decide when a write may be acknowledged to its caller. */
package org.hornbeamspread.core.acknowledgement;
