package org.hornbeamspread.core.session;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * What a session has seen, carried by the caller from answer to request, so that any proxy serves the session without
 * asking another one.
 *
 * <p>The token holds, for each group that the session touched, the position of its last write and of its last read. A
 * database may serve the session's next read when it has applied both. Two tokens of one session merge by taking the
 * later position of each group, so answers may arrive in any order.
 *
 * <p>A token holds at most {@value #MAX_GROUPS} groups. Leaving a group out silently would lose the session's writes
 * there; so a token that had to drop one is marked incomplete, and a group that an incomplete token does not name is
 * read with the primary's position on arrival as the floor.
 *
 * <p>The text is URL-safe Base64 without padding over: version byte, flags byte, group count, then for each group in
 * order of name the length and bytes of the name and four variable-length integers, then a CRC-32C of all before it.
 *
 * @param positions what was seen, by group name
 * @param incomplete whether a group had to be dropped
 */
public record SessionToken(SortedMap<String, SessionPosition> positions, boolean incomplete) {
    /** The most groups that a token holds. */
    public static final int MAX_GROUPS = 32;

    /** The longest text that is accepted. */
    public static final int MAX_TEXT_CHARACTERS = 8_192;

    /** The longest group name that a token carries. */
    public static final int MAX_NAME_BYTES = 127;

    /** A session that has seen nothing. */
    public static final SessionToken EMPTY = new SessionToken(new TreeMap<>(), false);

    private static final byte VERSION = 1;
    private static final int FLAG_INCOMPLETE = 1;
    private static final int CHECKSUM_BYTES = 4;
    private static final int HEADER_BYTES = 3;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = (1 << VARINT_BITS) - 1;
    private static final BaseEncoding BASE64 = BaseEncoding.base64Url().omitPadding();

    /** Copies the positions and checks their number and the names' lengths. */
    public SessionToken {
        positions = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(positions));
        if (positions.size() > MAX_GROUPS) {
            throw invalid("more than " + MAX_GROUPS + " groups");
        }
        for (String group : positions.keySet()) {
            int nameBytes = group.getBytes(StandardCharsets.UTF_8).length;
            if (nameBytes == 0 || nameBytes > MAX_NAME_BYTES) {
                throw invalid("a group name of " + nameBytes + " bytes");
            }
        }
    }

    /** Parses a token's text; empty text is the empty token. Fails with INVALID_TOKEN. */
    public static SessionToken decode(String text) {
        if (text.isEmpty()) {
            return EMPTY;
        }
        if (text.length() > MAX_TEXT_CHARACTERS) {
            throw invalid(text.length() + " characters");
        }
        byte[] bytes;
        try {
            bytes = BASE64.decode(text);
        } catch (IllegalArgumentException e) {
            throw invalid("not base64url");
        }
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw invalid("too short");
        }
        int bodyBytes = bytes.length - CHECKSUM_BYTES;
        if (ByteBuffer.wrap(bytes, bodyBytes, CHECKSUM_BYTES).getInt() != checksum(bytes, bodyBytes)) {
            throw invalid("checksum");
        }
        return decodeBody(ByteBuffer.wrap(bytes, 0, bodyBytes));
    }

    /** The token's text. */
    public String encode() {
        if (equals(EMPTY)) {
            return "";
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(VERSION);
        out.write(incomplete ? FLAG_INCOMPLETE : 0);
        out.write(positions.size());
        for (Map.Entry<String, SessionPosition> entry : positions.entrySet()) {
            byte[] name = entry.getKey().getBytes(StandardCharsets.UTF_8);
            out.write(name.length);
            out.write(name, 0, name.length);
            writePosition(out, entry.getValue().lastWrite());
            writePosition(out, entry.getValue().lastRead());
        }
        byte[] body = out.toByteArray();
        ByteBuffer whole = ByteBuffer.allocate(body.length + CHECKSUM_BYTES);
        whole.put(body).putInt(checksum(body, body.length));
        return BASE64.encode(whole.array());
    }

    /** What the session has seen of a group; empty when the token can't tell, because it is incomplete. */
    public Optional<SessionPosition> positionOf(String group) {
        SessionPosition position = positions.get(group);
        if (position == null && incomplete) {
            return Optional.empty();
        }
        return Optional.of(position == null ? SessionPosition.NONE : position);
    }

    /** This token after an acknowledged write. */
    public SessionToken withWrite(String group, LogPosition position) {
        return withPosition(group, new SessionPosition(position, LogPosition.NONE));
    }

    /** This token after a read of a state. */
    public SessionToken withRead(String group, LogPosition position) {
        return withPosition(group, new SessionPosition(LogPosition.NONE, position));
    }

    /** The later of both tokens, group by group. */
    public SessionToken merge(SessionToken other) {
        SessionToken merged = new SessionToken(positions, incomplete || other.incomplete);
        for (Map.Entry<String, SessionPosition> entry : other.positions.entrySet()) {
            merged = merged.withPosition(entry.getKey(), entry.getValue());
        }
        return merged;
    }

    private SessionToken withPosition(String group, SessionPosition seen) {
        SortedMap<String, SessionPosition> next = new TreeMap<>(positions);
        next.merge(group, seen, SessionPosition::merge);
        boolean dropped = next.size() > MAX_GROUPS;
        if (dropped) {
            next.remove(next.firstKey().equals(group) ? next.lastKey() : next.firstKey());
        }
        return new SessionToken(next, incomplete || dropped);
    }

    private static SessionToken decodeBody(ByteBuffer body) {
        if (body.get() != VERSION) {
            throw invalid("version");
        }
        int flags = body.get();
        if ((flags & ~FLAG_INCOMPLETE) != 0) {
            throw invalid("flags");
        }
        int groups = Byte.toUnsignedInt(body.get());
        SortedMap<String, SessionPosition> positions = new TreeMap<>();
        for (int i = 0; i < groups; i++) {
            String name = readName(body);
            SessionPosition seen = new SessionPosition(readPosition(body), readPosition(body));
            if (positions.put(name, seen) != null) {
                throw invalid("a group is named twice");
            }
        }
        if (body.hasRemaining()) {
            throw invalid("trailing bytes");
        }
        return new SessionToken(positions, flags == FLAG_INCOMPLETE);
    }

    private static String readName(ByteBuffer body) {
        int length = body.hasRemaining() ? Byte.toUnsignedInt(body.get()) : 0;
        if (length == 0 || length > body.remaining()) {
            throw invalid("a group name is cut off");
        }
        byte[] name = new byte[length];
        body.get(name);
        return new String(name, StandardCharsets.UTF_8);
    }

    private static LogPosition readPosition(ByteBuffer body) {
        return new LogPosition(readVarint(body), readVarint(body));
    }

    private static void writePosition(ByteArrayOutputStream out, LogPosition position) {
        writeVarint(out, position.term());
        writeVarint(out, position.indexEntries());
    }

    private static void writeVarint(ByteArrayOutputStream out, long value) {
        long rest = value;
        while (rest > VARINT_MASK) {
            out.write((int) (rest & VARINT_MASK) | (1 << VARINT_BITS));
            rest >>>= VARINT_BITS;
        }
        out.write((int) rest);
    }

    private static long readVarint(ByteBuffer body) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE - 1; shift += VARINT_BITS) {
            if (!body.hasRemaining()) {
                throw invalid("a position is cut off");
            }
            byte next = body.get();
            value |= (long) (next & VARINT_MASK) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw invalid("a position is too large");
    }

    private static int checksum(byte[] bytes, int lengthBytes) {
        return Hashing.crc32c().hashBytes(bytes, 0, lengthBytes).asInt();
    }

    private static FailureException invalid(String detail) {
        return new FailureException(FailureType.INVALID_TOKEN, detail);
    }
}
