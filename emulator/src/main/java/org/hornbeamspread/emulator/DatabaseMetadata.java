package org.hornbeamspread.emulator;

/**
 * State that a database persists in addition to its log.
 *
 * @param incarnation incremented at each start
 * @param term the highest term at which the database was fenced, promoted or ordered to follow
 * @param followedTerm the last term whose log the database accepted
 * @param fencedTerm the term at which the database was fenced and may be promoted; 0 if none
 * @param trusted false from the loss of the disk until the database is readmitted
 */
record DatabaseMetadata(long incarnation, long term, long followedTerm, long fencedTerm, boolean trusted) {
    /**
     * Checks that the incarnation is not negative and that neither the followed nor the fenced term exceeds the term.
     */
    DatabaseMetadata {
        if (incarnation < 0 || followedTerm > term || fencedTerm > term) {
            throw new IllegalArgumentException(
                    "negative incarnation, or a followed or fenced term above the current term");
        }
    }

    /** The metadata of a database at its first start. */
    static DatabaseMetadata initial(long incarnation, boolean trusted) {
        return new DatabaseMetadata(incarnation, 0, 0, 0, trusted);
    }

    DatabaseMetadata withIncarnation(long newIncarnation) {
        return new DatabaseMetadata(newIncarnation, term, followedTerm, fencedTerm, trusted);
    }

    DatabaseMetadata fenced(long newTerm) {
        return new DatabaseMetadata(incarnation, newTerm, followedTerm, newTerm, trusted);
    }

    DatabaseMetadata promoted() {
        return new DatabaseMetadata(incarnation, term, term, 0, trusted);
    }

    DatabaseMetadata following(long newTerm) {
        return new DatabaseMetadata(incarnation, newTerm, followedTerm, 0, trusted);
    }

    DatabaseMetadata accepted() {
        return new DatabaseMetadata(incarnation, term, term, fencedTerm, trusted);
    }

    DatabaseMetadata diskLost() {
        return new DatabaseMetadata(incarnation, term, followedTerm, fencedTerm, false);
    }

    DatabaseMetadata readmitted() {
        return new DatabaseMetadata(incarnation, term, followedTerm, fencedTerm, true);
    }
}
