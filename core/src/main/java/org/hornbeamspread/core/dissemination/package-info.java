/** How state reaches the proxies: versioned views, their deltas, and the leases under which they are held. */
package org.hornbeamspread.core.dissemination;
