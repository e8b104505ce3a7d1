package org.hornbeamspread.core.acknowledgement;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * A database's report about its replicated log.
 *
 * @param databaseId the database's id
 * @param incarnation increased whenever the database may have lost its disk
 * @param term the highest term at which the database was fenced, promoted or ordered to follow a primary
 * @param followedTerm the latest term whose log the database accepted
 * @param trusted false from the loss of the disk until the database is readmitted
 * @param synced the position of the last synced log entry
 */
public record LogStatusReport(
        String databaseId, long incarnation, long term, long followedTerm, boolean trusted, LogPosition synced) {}
