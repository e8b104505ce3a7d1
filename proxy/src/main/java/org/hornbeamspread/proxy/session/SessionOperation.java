package org.hornbeamspread.proxy.session;

/** A request of a session that waits for a database. */
interface SessionOperation {
    /** Begins; ends with {@link ClientSession#complete}. */
    void start();

    /** The route's time for a statement is over. */
    void onTimeout();

    /** The client has gone. */
    void onClientDisconnected();
}
