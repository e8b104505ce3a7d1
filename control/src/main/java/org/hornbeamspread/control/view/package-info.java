/** What proxies learn of the system: the published view, its deltas, and leases on it. */
package org.hornbeamspread.control.view;
