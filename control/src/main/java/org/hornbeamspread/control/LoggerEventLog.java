package org.hornbeamspread.control;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.hornbeamspread.core.misc.EventLog;

/** Writes each event as one line of the process's log, as {@code event field=value ...}. */
final class LoggerEventLog implements EventLog {
    private static final Logger LOG = System.getLogger(LoggerEventLog.class.getName());

    @Override
    public void record(String event, Object... fields) {
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=').append(fields[i + 1]);
        }
        LOG.log(Level.INFO, line.toString());
    }
}
