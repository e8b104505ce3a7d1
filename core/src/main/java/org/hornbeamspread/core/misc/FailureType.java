package org.hornbeamspread.core.misc;

/**
 * All failures that are reported to a caller, an operator or another process, each with its effect, its HTTP status and
 * a message template for its detail. The constant's name is its wire form, and its meaning must never change.
 */
public enum FailureType {
    // Bad input: refused before anything ran.
    INVALID_REQUEST(Effect.NOT_RUN, 400, "the request is malformed: %s"),
    INVALID_TOKEN(Effect.NOT_RUN, 400, "the session token is malformed: %s"),
    INVALID_POSITION(Effect.NOT_RUN, 400, "the log position is malformed: %s"),
    INVALID_CONFIGURATION(Effect.NOT_RUN, 400, "the configuration is refused: %s"),
    INVALID_SETTING(Effect.NOT_RUN, 400, "the setting is refused: %s"),
    INVALID_STATEMENT(Effect.NOT_RUN, 400, "the statement is refused: %s"),
    STATEMENT_CONFLICT(Effect.NOT_RUN, 409, "the statement conflicts with a row: %s"),
    UNKNOWN_SERVICE(Effect.NOT_RUN, 404, "no such service: %s"),
    UNKNOWN_RANK(Effect.NOT_RUN, 404, "no such rank: %s"),
    UNKNOWN_GROUP(Effect.NOT_RUN, 404, "no such group: %s"),
    UNKNOWN_DATABASE(Effect.NOT_RUN, 404, "no such database: %s"),
    UNKNOWN_TRANSACTION(Effect.NOT_RUN, 404, "no such open transaction: %s"),
    UNKNOWN_METHOD(Effect.NOT_RUN, 404, "no such method: %s"),
    KEY_REQUIRED(Effect.NOT_RUN, 400, "a non-repeatable write needs an idempotency key: %s"),

    // Routing and membership.
    NO_VIEW(Effect.NOT_RUN, 503, "this proxy has no view of the system yet: %s"),
    VIEW_EXPIRED(Effect.NOT_RUN, 503, "this proxy's lease from control has run out: %s"),
    NO_PRIMARY(Effect.NOT_RUN, 503, "the group has no primary: %s"),
    NO_REPLICA_IN_TIME(Effect.NOT_RUN, 503, "no database holds the position within the allowance: %s"),
    DATABASE_UNREACHABLE(Effect.NOT_RUN, 503, "the database can't be reached: %s"),
    DEPARTING(Effect.NOT_RUN, 503, "the database is departing: %s"),
    DRAINING(Effect.NOT_RUN, 503, "this proxy is shutting down: %s"),
    WRONG_TERM(Effect.NOT_RUN, 503, "the sender's term is not the database's: %s"),
    WRONG_HOLDER(Effect.NOT_RUN, 503, "this proxy does not hold the database: %s"),
    NOT_PRIMARY(Effect.NOT_RUN, 503, "the database is not a primary: %s"),

    // Limits.
    QUEUE_FULL(Effect.NOT_RUN, 429, "the queue of this rank is full: %s"),
    DEADLINE_BEFORE_START(Effect.NOT_RUN, 429, "the request can't start before its deadline: %s"),
    CONNECTION_LIMIT(Effect.NOT_RUN, 503, "the database has no free connection: %s"),
    RING_FULL(Effect.NOT_RUN, 503, "a ring buffer between threads is full: %s"),
    INCOMPLETE_MESSAGE_DROPPED(Effect.NOT_RUN, 503, "an incomplete message was dropped to free memory: %s"),
    RETRY_BUDGET_SPENT(Effect.NOT_RUN, 429, "the retry budget of this caller and rank is spent: %s"),

    // Unknown outcomes: the request may have taken effect.
    NO_QUORUM_IN_TIME(Effect.UNKNOWN, 504, "too few databases confirmed the write in time: %s"),
    TIMEOUT_AFTER_SEND(Effect.UNKNOWN, 504, "no answer before the deadline: %s"),
    CONNECTION_LOST_AFTER_SEND(Effect.UNKNOWN, 504, "the connection broke after the statement was sent: %s"),
    TERM_CHANGED_AFTER_SEND(Effect.UNKNOWN, 504, "the primary was replaced after the statement was sent: %s"),
    LEASE_LOST_AFTER_SEND(Effect.UNKNOWN, 504, "the lease ran out after the statement was sent: %s"),
    TRANSACTION_LOST(Effect.UNKNOWN, 504, "the transaction's connection was lost: %s"),

    // Control.
    NOT_LEADER(Effect.NOT_RUN, 421, "this control member does not lead: %s"),
    WRONG_CLUSTER(Effect.NOT_RUN, 421, "the sender belongs to another system: %s"),
    NO_LEADER(Effect.NOT_RUN, 503, "no control leader is known: %s"),
    VERSION_CONFLICT(Effect.NOT_RUN, 409, "the expected version is not the current one: %s"),
    REQUEST_ID_REUSED(Effect.NOT_RUN, 409, "the request id was used for another request: %s"),
    LEADERSHIP_LOST(Effect.UNKNOWN, 503, "leadership was lost before the change was committed: %s"),
    MEMBER_CHANGE_IN_PROGRESS(Effect.NOT_RUN, 409, "another membership change is in progress: %s"),
    NO_FENCE_QUORUM(Effect.NOT_RUN, 503, "too few databases could be fenced: %s"),

    // Storage.
    LOG_CORRUPTED(Effect.NOT_RUN, 500, "the log file is corrupted: %s"),
    DISK_FULL(Effect.NOT_RUN, 500, "the disk is full: %s"),
    DISK_FAILED(Effect.UNKNOWN, 500, "the disk failed: %s"),

    // Transport and other failures.
    CONNECTION_REFUSED(Effect.NOT_RUN, 503, "the connection could not be opened: %s"),
    CONNECTION_LOST(Effect.UNKNOWN, 503, "the connection broke: %s"),
    REQUEST_TIMEOUT(Effect.UNKNOWN, 504, "no answer in time: %s"),
    UNSUPPORTED_VERSION(Effect.NOT_RUN, 400, "the protocol version is not supported: %s"),
    INTERNAL(Effect.UNKNOWN, 500, "internal error: %s");

    private final Effect effect;
    private final int httpStatus;
    private final String template;

    FailureType(Effect effect, int httpStatus, String template) {
        this.effect = effect;
        this.httpStatus = httpStatus;
        this.template = template;
    }

    /** Whether a request that failed this way may have taken effect. */
    public Effect effect() {
        return effect;
    }

    /** The HTTP status of a response that reports this failure. */
    public int httpStatus() {
        return httpStatus;
    }

    /** The message with a detail inserted. */
    public String message(String detail) {
        return String.format(template, detail);
    }
}
