package org.hornbeamspread.core.acknowledgement;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * What a database says of the log that it holds.
 *
 * @param databaseId its id
 * @param incarnation raised whenever it may have lost its disk
 * @param term the highest term it was fenced, promoted or told to follow at
 * @param followedTerm the last term whose log it accepted
 * @param trusted false from a lost disk until it is readmitted
 * @param synced its last synced entry
 */
public record LogStatusReport(
        String databaseId, long incarnation, long term, long followedTerm, boolean trusted, LogPosition synced) {}
