package org.hornbeamspread.core.sql;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * A database's replication status, as reported by the database.
 *
 * @param primary whether the database is the primary
 * @param term the highest term that the database has recorded
 * @param received the end of the received log, whether applied or not
 * @param heldTerm the term for which replication is paused; 0 if replication is not paused
 */
public record ReplicaStatus(boolean primary, long term, LogPosition received, long heldTerm) {}
