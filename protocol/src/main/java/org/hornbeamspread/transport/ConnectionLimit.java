package org.hornbeamspread.transport;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.Optional;
import org.hornbeamspread.core.admission.ConnectionSlots;

/** Closes connections over the limit of a listener, as {@link ConnectionSlots} decides. Confined to one event loop. */
public final class ConnectionLimit {
    private static final AttributeKey<ConnectionLimit> KEY = AttributeKey.valueOf(ConnectionLimit.class, "limit");

    private final ConnectionSlots<Channel> slots;
    private final LimitReporter reporter;

    /** Creates the limit of one listener. */
    public ConnectionLimit(int maxConnections, LimitReporter reporter) {
        this.slots = new ConnectionSlots<>(maxConnections);
        this.reporter = reporter;
    }

    /** Adds an accepted connection. Closes it, or one that has been idle longest, if there are too many. */
    public void add(Channel accepted) {
        accepted.attr(KEY).set(this);
        Optional<Channel> closing = slots.open(accepted);
        accepted.closeFuture().addListener(closed -> slots.close(accepted));
        closing.ifPresent(channel -> {
            reporter.onExceeded(ExceededLimit.CONNECTIONS, channel);
            channel.close();
        });
    }

    /** Records that a connection has a request; without effect on a connection that has no limit. */
    public static void onBusy(Channel channel) {
        Optional.ofNullable(channel.attr(KEY).get()).ifPresent(limit -> limit.slots.onBusy(channel));
    }

    /** Records that a connection has no request any more. */
    public static void onIdle(Channel channel) {
        Optional.ofNullable(channel.attr(KEY).get()).ifPresent(limit -> limit.slots.onIdle(channel));
    }
}
