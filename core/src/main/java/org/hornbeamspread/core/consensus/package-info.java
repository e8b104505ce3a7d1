/** A replicated log after Raft: elections, replication, linearizable reads, membership changes and snapshots. */
package org.hornbeamspread.core.consensus;
