package org.hornbeamspread.transport;

import java.util.function.Consumer;
import org.hornbeamspread.protocol.schema.Envelope;

/** What a process does with the frames of one connection. Called on a network thread, which must not be blocked. */
public interface PeerHandler {
    /**
     * A request arrived. The answer may be given later and from any thread, once; request id and version are filled in
     * by the transport.
     */
    void onRequest(PeerConnection connection, Envelope request, Consumer<Envelope> answer);

    /** A push arrived. */
    default void onPush(PeerConnection connection, Envelope push) {}

    /** The connection is open. */
    default void onOpen(PeerConnection connection) {}

    /** The connection is closed; requests that waited on it have failed already. */
    default void onClose(PeerConnection connection) {}
}
