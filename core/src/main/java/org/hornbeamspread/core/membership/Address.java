package org.hornbeamspread.core.membership;

import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * A TCP address.
 *
 * @param host an IP number
 * @param port 0 to 65535
 */
public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Checks the port. */
    public Address {
        if (port < 0 || port > MAX_PORT) {
            throw new FailureException(FailureType.INVALID_REQUEST, "port out of range: " + port);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
