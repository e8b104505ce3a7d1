package org.hornbeamspread.core.misc;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an order of log positions in which a higher index outweighs a later term. */
final class LogPositionTest {
    @ParameterizedTest
    @CsvSource({"1,5, 1,5, true", "2,1, 1,9, true", "1,9, 2,1, false", "1,4, 1,5, false"})
    void coversComparesTermFirst(long term, long index, long otherTerm, long otherIndex, boolean covers) {
        assertThat(new LogPosition(term, index).covers(new LogPosition(otherTerm, otherIndex)))
                .isEqualTo(covers);
    }
}
