package org.hornbeamspread.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.GroupView;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewChanged;
import org.hornbeamspread.transport.Envelopes;
import org.hornbeamspread.transport.PeerConnection;
import org.hornbeamspread.transport.PeerHandler;
import org.hornbeamspread.transport.PeerServer;
import org.hornbeamspread.transport.PeerTransport;

/** A control leader on loopback that grants leases on a view set by the test. */
final class FakeControlLeader implements PeerHandler {
    private final PeerServer server;
    private final Map<String, ProxyEntry> proxies = new ConcurrentHashMap<>();
    private final Map<String, RenewView> renewals = new ConcurrentHashMap<>();
    private final List<PeerConnection> connections = new CopyOnWriteArrayList<>();
    private volatile GroupView group = GroupView.getDefaultInstance();
    private volatile long viewVersion;
    private volatile boolean grantsLeases = true;
    private volatile boolean responds = true;
    private final AtomicInteger receivedRenewals = new AtomicInteger();

    FakeControlLeader(PeerTransport transport) {
        server = transport
                .listen(Endpoint.newBuilder().setHost("127.0.0.1").build(), this)
                .join();
    }

    Endpoint endpoint() {
        return Endpoint.newBuilder().setHost("127.0.0.1").setPort(server.port()).build();
    }

    /** Publishes a view and waits until the given proxies have confirmed it. */
    void publish(GroupView newGroup, String... confirmedBy) {
        synchronized (this) {
            viewVersion++;
            group = newGroup;
        }
        pushViewChanged();
        for (String proxyId : confirmedBy) {
            awaitConfirmed(proxyId, viewVersion);
        }
    }

    /** The last renewal request of a proxy. */
    RenewView lastRenewal(String proxyId) {
        return renewals.get(proxyId);
    }

    /** Sets whether renewals are granted; otherwise they fail with NOT_LEADER. */
    void setGrantsLeases(boolean grant) {
        grantsLeases = grant;
    }

    /** Sets whether renewals get a response. */
    void setResponds(boolean respond) {
        responds = respond;
    }

    /** The number of renewals received so far, with or without a response. */
    int receivedRenewals() {
        return receivedRenewals.get();
    }

    @Override
    public void onOpen(PeerConnection connection) {
        connections.add(connection);
    }

    @Override
    public void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer) {
        receivedRenewals.incrementAndGet();
        if (!responds) {
            return;
        }
        if (!grantsLeases) {
            answer.accept(Envelopes.failureEnvelope(new FailureException(FailureType.NOT_LEADER, "")));
            return;
        }
        RenewView renewal = request.getRenewView();
        String proxyId = renewal.getProxy().getProxyId();
        boolean isNew = proxies.put(proxyId, renewal.getProxy()) == null;
        Envelope lease;
        synchronized (this) {
            viewVersion += isNew ? 1 : 0;
            lease = Envelope.newBuilder()
                    .setViewLease(TestViews.lease(viewVersion, group, List.copyOf(proxies.values())))
                    .build();
            renewals.put(proxyId, renewal);
            notifyAll();
        }
        answer.accept(lease);
        if (isNew) {
            pushViewChanged();
        }
    }

    private void pushViewChanged() {
        connections.forEach(connection -> connection.push(Envelope.newBuilder()
                .setViewChanged(ViewChanged.getDefaultInstance())
                .build()));
    }

    private synchronized void awaitConfirmed(String proxyId, long minViewVersion) {
        while (!renewals.containsKey(proxyId) || renewals.get(proxyId).getViewVersion() < minViewVersion) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
