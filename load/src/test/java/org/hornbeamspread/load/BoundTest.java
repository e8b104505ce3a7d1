package org.hornbeamspread.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a bound that passes without evidence: on a missing field, a division by zero or a malformed line. */
class BoundTest {
    private static final Map<String, JsonObject> REPORTS = Map.of(
            "none", report("{\"gap\": 50, \"byRank\": {\"urgent\": {\"share\": 1.0}}}"),
            "flood", report("{\"gap\": 100, \"byRank\": {\"urgent\": {\"share\": 0.9}}}"),
            "empty", report("{\"gap\": 0}"));

    @ParameterizedTest
    @CsvSource({
        "a: flood.byRank.urgent.share / none.byRank.urgent.share >= 0.9, 0.9, true",
        "a: flood.byRank.urgent.share / none.byRank.urgent.share >= 0.95, 0.9, false",
        "a: flood.gap / none.gap <= 2, 2.0, true",
        "a: flood.gap / 1000 <= 0.05, 0.1, false",
        "a: empty.gap / empty.gap <= 5, NaN, false"
    })
    void aBoundComparesTheRatioWithItsLimit(String line, double value, boolean satisfied) {
        Bound bound = Bound.parse(line);
        assertThat(bound.value(REPORTS)).isEqualTo(value);
        assertThat(bound.isSatisfiedBy(bound.value(REPORTS))).isEqualTo(satisfied);
    }

    @ParameterizedTest
    @CsvSource({
        "a: flood.byRank.urgent.share / none.byRank.urgent.share >= 0.9, true",
        "a: missing.gap / none.gap <= 2, false",
        "a: flood.byRank / none.gap <= 2, false"
    })
    void aMissingNumberIsRejected(String line, boolean present) {
        Bound bound = Bound.parse(line);
        if (!present) {
            assertThrows(FailureException.class, () -> bound.value(REPORTS));
        } else {
            assertThat(bound.value(REPORTS)).isGreaterThan(0);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"a flood.gap / none.gap <= 2", "a: flood.gap <= 2", "a: flood.gap / none.gap = 2"})
    void aMalformedLineIsRejected(String line) {
        assertThrows(FailureException.class, () -> Bound.parse(line));
    }

    private static JsonObject report(String json) {
        return JsonParser.parseString(json).getAsJsonObject();
    }
}
