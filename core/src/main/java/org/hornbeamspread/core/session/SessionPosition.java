package org.hornbeamspread.core.session;

import org.hornbeamspread.core.misc.LogPosition;

/**
 * A session's positions in the log of one database group.
 *
 * @param lastWrite the position of the session's last acknowledged write, NONE before the first write
 * @param lastRead the latest position returned by a read of the session, NONE before the first read
 */
public record SessionPosition(LogPosition lastWrite, LogPosition lastRead) {
    /** A session that has neither written nor read. */
    public static final SessionPosition NONE = new SessionPosition(LogPosition.NONE, LogPosition.NONE);

    /** The minimum position that a database must have applied to serve the session's next read. */
    public LogPosition minReadPosition() {
        return LogPosition.max(lastWrite, lastRead);
    }

    /** The later write position and the later read position of both arguments. */
    public SessionPosition merge(SessionPosition other) {
        return new SessionPosition(
                LogPosition.max(lastWrite, other.lastWrite), LogPosition.max(lastRead, other.lastRead));
    }
}
