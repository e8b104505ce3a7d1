package org.hornbeamspread.transport;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.junit.jupiter.api.Test;

/** An idle connection whose peer lost power must be closed at about the time when a database drops it, after three seconds. */
final class TcpKeepAliveTest {
    @Test
    void deadPeerIsDetectedAfterThreeSeconds() {
        NioSocketChannel channel = new NioSocketChannel();
        try {
            TcpKeepAlive.enable(channel);

            assertThat(channel.config().getOption(ChannelOption.SO_KEEPALIVE)).isTrue();
            int idleS = channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE));
            int intervalS = channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL));
            int probes = channel.config().getOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT));
            assertThat(idleS + intervalS * probes).isEqualTo(3);
        } finally {
            channel.unsafe().closeForcibly();
        }
    }
}
