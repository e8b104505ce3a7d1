package org.hornbeamspread.transport;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** A listening TCP socket. */
public final class PeerServer implements AutoCloseable {
    private final Channel channel;

    PeerServer(Channel channel) {
        this.channel = channel;
    }

    /** The port that the socket listens on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops listening; open connections stay open. */
    @Override
    public void close() {
        channel.close();
    }
}
