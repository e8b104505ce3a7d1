package org.hornbeamspread.transport;

import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;

/** Maps announced addresses to the addresses to connect to, for use behind network address translation or a test link. */
public interface AddressTranslator {
    /** The highest TCP port. */
    int MAX_PORT = 65_535;

    /** The address to connect to. */
    Endpoint translate(Endpoint announced);

    /** A translator that leaves every address unchanged. */
    static AddressTranslator identity() {
        return announced -> announced;
    }

    /** A translator that replaces the addresses in a table and leaves others unchanged. */
    static AddressTranslator table(Map<Endpoint, Endpoint> table) {
        Map<Endpoint, Endpoint> copy = Map.copyOf(table);
        return announced -> copy.getOrDefault(announced, announced);
    }

    /** Formats an endpoint as host:port, which {@link #parse} accepts. */
    static String format(Endpoint endpoint) {
        return endpoint.getHost() + ":" + endpoint.getPort();
    }

    /** Whether an endpoint names a host and a port to connect to. */
    static boolean isConnectable(Endpoint endpoint) {
        return !endpoint.getHost().isEmpty() && endpoint.getPort() > 0 && endpoint.getPort() <= MAX_PORT;
    }

    /** Parses host:port. Fails with INVALID_SETTING. */
    static Endpoint parse(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        try {
            int port = Integer.parseInt(hostAndPort.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return Endpoint.newBuilder()
                        .setHost(hostAndPort.substring(0, colon))
                        .setPort(port)
                        .build();
            }
        } catch (NumberFormatException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "not host:port: " + hostAndPort);
        }
        throw new FailureException(FailureType.INVALID_SETTING, "not host:port: " + hostAndPort);
    }
}
