package org.hornbeamspread.control.view;

import java.util.function.Consumer;
import org.hornbeamspread.control.failover.ControlMetrics;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;

/**
 * Rejects proxies and databases of other clusters. Otherwise a proxy that is configured with a wrong address would be
 * granted leases, and such a database could be promoted. A renewal is refused with WRONG_CLUSTER and an announcement is
 * dropped; both are counted.
 */
public final class ClusterGuard implements PeerHandler {
    private final String clusterId;
    private final PeerHandler delegate;
    private final ControlMetrics metrics;

    /** Forwards all requests and pushes to the delegate, except renewals and announcements of other clusters. */
    public ClusterGuard(String clusterId, PeerHandler delegate, ControlMetrics metrics) {
        this.clusterId = clusterId;
        this.delegate = delegate;
        this.metrics = metrics;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> replyCallback) {
        if (request.hasRenewView() && isOtherCluster(request.getRenewView().getClusterId())) {
            replyCallback.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.WRONG_CLUSTER,
                    request.getRenewView().getClusterId() + " is not the id of this cluster, " + clusterId)));
            return;
        }
        delegate.onRequest(connection, request, replyCallback);
    }

    @Override
    public void onPush(PeerConnection connection, Envelope push) {
        if (!push.hasAnnounce() || !isOtherCluster(push.getAnnounce().getClusterId())) {
            delegate.onPush(connection, push);
        }
    }

    @Override
    public void onClose(PeerConnection connection) {
        delegate.onClose(connection);
    }

    private boolean isOtherCluster(String senderClusterId) {
        boolean otherCluster = !clusterId.equals(senderClusterId);
        if (otherCluster) {
            metrics.countFailure(FailureType.WRONG_CLUSTER);
        }
        return otherCluster;
    }
}
