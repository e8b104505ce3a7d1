package org.hornbeamspread.proxy;

import com.google.common.io.BaseEncoding;
import java.security.SecureRandom;
import java.util.Optional;

/**
 * The id of an interactive transaction. The id contains the proxy whose connection the transaction runs on and that
 * proxy's incarnation, so that any proxy can forward requests and detect that the transaction was lost with its
 * proxy.
 *
 * @param proxyId the proxy that has the connection
 * @param incarnation that proxy's incarnation
 * @param secret a random part, so that another caller can't guess the id
 */
record TransactionId(String proxyId, long incarnation, String secret) {
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int SECRET_BYTES = 16;
    private static final int PARTS = 3;

    /** Creates an id with a random secret. */
    static TransactionId create(String proxyId, long incarnation) {
        byte[] secret = new byte[SECRET_BYTES];
        RANDOM.nextBytes(secret);
        return new TransactionId(
                proxyId, incarnation, BaseEncoding.base16().lowerCase().encode(secret));
    }

    /** Parses an id; empty if the text is malformed. */
    static Optional<TransactionId> parse(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TransactionId(parts[0], Long.parseLong(parts[1]), parts[2]));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    /** The text form that callers send with each request. */
    String encode() {
        return proxyId + ":" + incarnation + ":" + secret;
    }
}
