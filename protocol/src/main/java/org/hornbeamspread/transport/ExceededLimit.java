package org.hornbeamspread.transport;

/** The limits whose excess closes a connection. */
public enum ExceededLimit {
    /** The number of open connections. */
    CONNECTIONS,
    /** The size of one request body. */
    BODY_SIZE,
    /** The request bodies and unread responses of all HTTP connections together. */
    HTTP_MEMORY,
    /** The responses that one client has not read. */
    UNREAD_RESPONSES,
    /** The time without progress of a client that has unread responses. */
    UNREAD_TIME
}
