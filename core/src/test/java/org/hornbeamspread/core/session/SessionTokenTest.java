package org.hornbeamspread.core.session;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Bytes;
import com.google.common.primitives.Ints;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A session token must keep every position through encoding and merging, and damaged text must be rejected: a lost or
 * wrong position would let a session read a state without its own writes.
 */
final class SessionTokenTest {
    private static final SessionToken SAMPLE = SessionToken.EMPTY
            .withWrite("rental-core-1", new LogPosition(3, 700))
            .withRead("rental-core-2", new LogPosition(1, 128));

    @Property(tries = 200, seed = "20261204")
    void everyPositionIsUnchangedAfterEncodingAndDecoding(
            @ForAll @LongRange(max = Long.MAX_VALUE) long term, @ForAll @LongRange(max = Long.MAX_VALUE) long index) {
        SessionToken token = SAMPLE.withRead("g", new LogPosition(term, index));
        assertThat(SessionToken.decode(token.encode())).isEqualTo(token);
    }

    @ParameterizedTest
    @ValueSource(strings = {"!", "A", "AAAA", "AAAAAAAAAAAA", "not base64 at all", "AQAAAAAAAA=="})
    void malformedTextIsRejected(String text) {
        assertRejected(text);
    }

    /** Bodies with a valid checksum and invalid content: hex of version, flags, count, names, positions. */
    @ParameterizedTest
    @CsvSource({
        "version, 020000",
        "flags, 010200",
        "missing group, 010001",
        "empty name, 01000100",
        "name cut off, 0100010561",
        "position cut off, 010001016101",
        "unterminated position, 0100010161ffffffffffffffffffff",
        "group named twice, 01000201610101010101610101 0101",
        "trailing bytes, 01000000",
    })
    void invalidBodyWithValidChecksumIsRejected(String fault, String hex) {
        byte[] body = BaseEncoding.base16().lowerCase().decode(hex.replace(" ", ""));
        byte[] checksum = Ints.toByteArray(Hashing.crc32c().hashBytes(body).asInt());
        assertRejected(BaseEncoding.base64Url().omitPadding().encode(Bytes.concat(body, checksum)));
    }

    @Test
    void everyAlteredOrTruncatedTextIsRejected() {
        String text = SAMPLE.encode();
        for (int i = 0; i < text.length() - 1; i++) {
            char other = text.charAt(i) == 'A' ? 'B' : 'A';
            assertRejected(text.substring(0, i) + other + text.substring(i + 1));
            if (i > 0) {
                assertRejected(text.substring(0, i));
            }
        }
        assertRejected("A".repeat(SessionToken.MAX_TEXT_CHARACTERS + 1));
    }

    @Test
    void mergeKeepsTheLaterPositionOfEachGroup() {
        SessionToken left = SAMPLE.withWrite("g", new LogPosition(1, 9)).withRead("g", new LogPosition(2, 1));
        SessionToken right =
                SessionToken.EMPTY.withWrite("g", new LogPosition(2, 2)).withRead("g", new LogPosition(1, 99));
        SessionPosition merged = left.merge(right).positionOf("g").orElseThrow();
        assertThat(merged).isEqualTo(new SessionPosition(new LogPosition(2, 2), new LogPosition(2, 1)));
        assertThat(merged.minReadPosition()).isEqualTo(new LogPosition(2, 2));
        assertThat(left.merge(right)).isEqualTo(right.merge(left));
    }

    @Test
    void incompleteTokenReturnsNoPositionForADroppedGroup() {
        SessionToken token = SessionToken.EMPTY;
        for (int i = 0; i <= SessionToken.MAX_GROUPS; i++) {
            token = token.withWrite(String.format("g%02d", i), new LogPosition(1, i + 1));
        }
        assertThat(token.positionOf("g00").isEmpty()).isTrue();
        assertThat(token.positionOf("g32").isPresent()).isTrue();
        assertThat(SessionToken.decode(token.encode())).isEqualTo(token);
        assertThat(token.encode().length()).isLessThan(SessionToken.MAX_TEXT_CHARACTERS);
        assertThat(SAMPLE.positionOf("g00")).hasValue(SessionPosition.NONE);
    }

    private static void assertRejected(String text) {
        FailureException failure = assertThrows(FailureException.class, () -> SessionToken.decode(text), text);
        assertThat(failure.type()).isEqualTo(FailureType.INVALID_TOKEN);
    }
}
