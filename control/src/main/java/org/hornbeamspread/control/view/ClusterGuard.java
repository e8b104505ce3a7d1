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
 * Keeps proxies and databases of another system out: one that was pointed at a wrong address would else be given
 * leases, or be promoted. A renewal is refused with WRONG_CLUSTER, an announcement dropped; both are counted.
 */
public final class ClusterGuard implements PeerHandler {
    private final String clusterId;
    private final PeerHandler delegate;
    private final ControlMetrics metrics;

    /** Passes on what belongs to the cluster. */
    public ClusterGuard(String clusterId, PeerHandler inner, ControlMetrics metrics) {
        this.clusterId = clusterId;
        this.delegate = inner;
        this.metrics = metrics;
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        if (request.hasRenewView() && isOtherCluster(request.getRenewView().getClusterId())) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(
                    FailureType.WRONG_CLUSTER, request.getRenewView().getClusterId() + ", here " + clusterId)));
            return;
        }
        delegate.onRequest(connection, request, answer);
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

    private boolean isOtherCluster(String sender) {
        boolean foreign = !clusterId.equals(sender);
        if (foreign) {
            metrics.countFailure(FailureType.WRONG_CLUSTER);
        }
        return foreign;
    }
}
