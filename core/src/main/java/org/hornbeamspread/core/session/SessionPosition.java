package org.hornbeamspread.core.session;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * What a session has seen of one database group.
 *
 * @param lastWrite the position of its last acknowledged write, NONE when it has not written
 * @param lastRead the latest state that it was shown, NONE when it has not read
 */
public record SessionPosition(LogPosition lastWrite, LogPosition lastRead) {
    /** A session that has seen nothing. */
    public static final SessionPosition NONE = new SessionPosition(LogPosition.NONE, LogPosition.NONE);

    /** The position that a database must have applied to serve the session's next read. */
    public LogPosition minReadPosition() {
        return LogPosition.max(lastWrite, lastRead);
    }

    /** The later of both sides, part by part. */
    public SessionPosition merge(SessionPosition other) {
        return new SessionPosition(
                LogPosition.max(lastWrite, other.lastWrite), LogPosition.max(lastRead, other.lastRead));
    }
}
