/** A replicated log by majority: elections, replication, confirmed reads, membership, snapshots. */
package org.hornbeamspread.core.consensus;
