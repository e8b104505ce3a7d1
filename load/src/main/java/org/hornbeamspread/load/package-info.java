/** Workloads, floods, the ledger of answers, the audit against the databases, and the report. */
package org.hornbeamspread.load;
