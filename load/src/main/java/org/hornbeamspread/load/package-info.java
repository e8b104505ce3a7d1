/**
 * Load generator: workloads and floods, the ledger of payments and their results, the audit against the databases, and
 * the report.
 */
package org.hornbeamspread.load;
