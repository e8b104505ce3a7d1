package org.hornbeamspread.proxy.session;

/** A request of a session that is run by a database. */
interface SessionOperation {
    /** Starts the operation, whose result goes to {@link ClientSession#complete}. */
    void start();

    /** Ends the operation after the route's statement timeout, also after the client has disconnected. */
    void onTimeout();

    /** Cancels the operation after the client has disconnected. */
    void onClientDisconnected();
}
