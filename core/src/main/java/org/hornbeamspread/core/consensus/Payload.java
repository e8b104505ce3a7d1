package org.hornbeamspread.core.consensus;

import java.util.Arrays;

/** Immutable bytes that the log stores without interpreting them. */
public final class Payload {
    /** The empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Returns a payload with a copy of the bytes. */
    public static Payload copyOf(byte[] bytes) {
        return new Payload(bytes.clone());
    }

    /** Returns a copy of the bytes. */
    public byte[] toByteArray() {
        return bytes.clone();
    }

    /** The number of bytes. */
    public int sizeBytes() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload payload && Arrays.equals(bytes, payload.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
