package org.hornbeamspread.transport;

import java.util.function.Consumer;
import org.hornbeamspread.protocol.schema.Envelope;

/** Handles the events of a connection. The methods are called on a network thread, which must not be blocked. */
public interface PeerHandler {
    /**
     * Called for a request. The answer may be passed later and from any thread, but only once. The transport fills in
     * the request id and the protocol version.
     */
    void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer);

    /** Called for a push, a message without an answer. */
    default void onPush(PeerConnection connection, Envelope push) {}

    /** Called when the connection is open. */
    default void onOpen(PeerConnection connection) {}

    /** Called when the connection is closed, after its pending requests have failed. */
    default void onClose(PeerConnection connection) {}
}
