/**
 * Distribution of state to the proxies: versioned views, their deltas, and the leases under which proxies act on them.
 */
package org.hornbeamspread.core.dissemination;
