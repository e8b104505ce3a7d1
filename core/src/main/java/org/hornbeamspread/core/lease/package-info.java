/** Leases handed down a tree: from the control leader through one relay in each failure domain to the proxies. */
package org.hornbeamspread.core.lease;
