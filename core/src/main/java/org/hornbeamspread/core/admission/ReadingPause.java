package org.hornbeamspread.core.admission;

/**
 * Decides when a process stops reading from a client: while the requests that wait behind the one in progress exceed a limit, or the
 * client does not read its responses. The rest then stays in the client's own buffers. A client that sends its next request after the
 * response to the previous one is never paused.
 */
public final class ReadingPause {
    private final long maxWaitingBytes;
    private boolean paused;

    /** Creates a pause that begins at {@code maxWaitingBytes} and ends at half of it, so that it does not begin and end with each request. */
    public ReadingPause(long maxWaitingBytes) {
        this.maxWaitingBytes = maxWaitingBytes;
    }

    /** Returns whether reading is to be paused now. */
    public boolean update(long waitingBytes, boolean responsesTaken) {
        long limitBytes = paused ? maxWaitingBytes / 2 : maxWaitingBytes;
        paused = !responsesTaken || waitingBytes >= limitBytes;
        return paused;
    }
}
