/** The view of the cluster that control publishes to proxies, its deltas, and the leases on it. */
package org.hornbeamspread.control.view;
