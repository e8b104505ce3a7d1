package org.hornbeamspread.emulator;

/**
 * What a database must not forget besides its log.
 *
 * @param incarnation raised at each start
 * @param term the highest term it was fenced, promoted or told to follow at
 * @param followedTerm the last term whose log it accepted
 * @param fencedTerm the term it was fenced at and may be promoted at; 0 when none
 * @param trusted false from a lost disk until it is readmitted
 */
record DatabaseMetadata(long incarnation, long term, long followedTerm, long fencedTerm, boolean trusted) {
    /** Checks that terms are in order. */
    DatabaseMetadata {
        if (incarnation < 0 || followedTerm > term || fencedTerm > term) {
            throw new IllegalArgumentException("terms out of order");
        }
    }

    /** The first start of a database. */
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
