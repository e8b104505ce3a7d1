package org.hornbeamspread.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import jdk.net.ExtendedSocketOptions;

/**
 * The keep-alive of connections whose protocol has no messages for it: the kernel probes an idle connection, and closes one whose
 * peer does not respond. Probes don't run while sent data is unacknowledged, and a relay that drops the data responds to them, so
 * requests still need a time-out of their own.
 */
public final class TcpKeepAlive {
    /** With {@link #PROBES}, a dead peer is detected after three seconds, the same as on the databases' side. */
    private static final int INTERVAL_S = 1;

    private static final int PROBES = 2;

    private TcpKeepAlive() {}

    /** Enables the probes. */
    public static void enable(Channel channel) {
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), INTERVAL_S);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), INTERVAL_S);
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBES);
    }
}
