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
 * The write and read positions of a session, which provide session consistency (read your writes, monotonic reads). The
 * caller passes the token of each response in its next request, so that any proxy can serve the session without
 * contacting another proxy.
 *
 * <p>For each group that the session used, the token contains the positions of the session's last write and last read.
 * A database may serve the session's next read when the database has applied both. Two tokens of one session are merged
 * by taking the later position of each group, so responses may arrive in any order.
 *
 * <p>A token contains at most {@value #MAX_GROUPS} groups. Silently omitting a group would lose read-your-writes for
 * that group. A token that had to drop a group is therefore marked incomplete, and a read of a group that is missing
 * from an incomplete token uses the primary's position at the arrival of the request as its minimum position.
 *
 * <p>The text is URL-safe Base64 without padding of these fields: version byte, flags byte, group count, then for each
 * group in order of name the length and bytes of the name and four variable-length integers, then a CRC-32C of all
 * preceding bytes.
 *
 * @param positions the session's positions, by group name
 * @param incomplete whether a group was dropped
 */
public record SessionToken(SortedMap<String, SessionPosition> positions, boolean incomplete) {
    /** The maximum number of groups in a token. */
    public static final int MAX_GROUPS = 32;

    /** The maximum length of an encoded token. */
    public static final int MAX_TEXT_CHARACTERS = 8_192;

    /** The maximum length of a group name in UTF-8. */
    public static final int MAX_NAME_BYTES = 127;

    /** The token of a session that has neither written nor read. */
    public static final SessionToken EMPTY = new SessionToken(new TreeMap<>(), false);

    private static final byte VERSION = 1;
    private static final int FLAG_INCOMPLETE = 1;
    private static final int CHECKSUM_BYTES = 4;
    private static final int HEADER_BYTES = 3;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = (1 << VARINT_BITS) - 1;
    private static final BaseEncoding BASE64 = BaseEncoding.base64Url().omitPadding();

    /** Copies the positions and validates their number and the lengths of the group names. */
    public SessionToken {
        positions = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(positions));
        if (positions.size() > MAX_GROUPS) {
            throw invalid("more than " + MAX_GROUPS + " groups");
        }
        for (String group : positions.keySet()) {
            int nameBytes = group.getBytes(StandardCharsets.UTF_8).length;
            if (nameBytes == 0 || nameBytes > MAX_NAME_BYTES) {
                throw invalid("group name length of " + nameBytes + " bytes");
            }
        }
    }

    /** Decodes a token; empty text is the empty token. Invalid text fails with INVALID_TOKEN. */
    public static SessionToken decode(String text) {
        if (text.isEmpty()) {
            return EMPTY;
        }
        if (text.length() > MAX_TEXT_CHARACTERS) {
            throw invalid(text.length() + " characters exceed the maximum length");
        }
        byte[] bytes;
        try {
            bytes = BASE64.decode(text);
        } catch (IllegalArgumentException e) {
            throw invalid("token is not valid base64url");
        }
        if (bytes.length < HEADER_BYTES + CHECKSUM_BYTES) {
            throw invalid("token is too short");
        }
        int bodyBytes = bytes.length - CHECKSUM_BYTES;
        if (ByteBuffer.wrap(bytes, bodyBytes, CHECKSUM_BYTES).getInt() != checksum(bytes, bodyBytes)) {
            throw invalid("checksum");
        }
        return decodeBody(ByteBuffer.wrap(bytes, 0, bodyBytes));
    }

    /** Encodes the token; the empty token is empty text. */
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
        ByteBuffer encoded = ByteBuffer.allocate(body.length + CHECKSUM_BYTES);
        encoded.put(body).putInt(checksum(body, body.length));
        return BASE64.encode(encoded.array());
    }

    /** The session's position in a group; empty when the position is unknown because the token is incomplete. */
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

    /** This token after a read that returned the state at a position. */
    public SessionToken withRead(String group, LogPosition position) {
        return withPosition(group, new SessionPosition(LogPosition.NONE, position));
    }

    /** A token with the later position of each group. */
    public SessionToken merge(SessionToken other) {
        SessionToken merged = new SessionToken(positions, incomplete || other.incomplete);
        for (Map.Entry<String, SessionPosition> entry : other.positions.entrySet()) {
            merged = merged.withPosition(entry.getKey(), entry.getValue());
        }
        return merged;
    }

    private SessionToken withPosition(String group, SessionPosition position) {
        SortedMap<String, SessionPosition> merged = new TreeMap<>(positions);
        merged.merge(group, position, SessionPosition::merge);
        boolean dropped = merged.size() > MAX_GROUPS;
        if (dropped) {
            merged.remove(merged.firstKey().equals(group) ? merged.lastKey() : merged.firstKey());
        }
        return new SessionToken(merged, incomplete || dropped);
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
            SessionPosition position = new SessionPosition(readPosition(body), readPosition(body));
            if (positions.put(name, position) != null) {
                throw invalid("group name occurs twice");
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
            throw invalid("group name is empty or cut off");
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
        long remaining = value;
        while (remaining > VARINT_MASK) {
            out.write((int) (remaining & VARINT_MASK) | (1 << VARINT_BITS));
            remaining >>>= VARINT_BITS;
        }
        out.write((int) remaining);
    }

    private static long readVarint(ByteBuffer body) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE - 1; shift += VARINT_BITS) {
            if (!body.hasRemaining()) {
                throw invalid("position is cut off");
            }
            byte next = body.get();
            value |= (long) (next & VARINT_MASK) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw invalid("position is too large");
    }

    private static int checksum(byte[] bytes, int lengthBytes) {
        return Hashing.crc32c().hashBytes(bytes, 0, lengthBytes).asInt();
    }

    private static FailureException invalid(String detail) {
        return new FailureException(FailureType.INVALID_TOKEN, detail);
    }
}
