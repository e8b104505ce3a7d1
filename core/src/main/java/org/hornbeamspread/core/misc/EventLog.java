package org.hornbeamspread.core.misc;

/**
 * Records one line for each decision that affects a request or changes the state of the process. Recording never
 * blocks; lines over the buffer's bound are dropped and counted.
 */
public interface EventLog {
    /** An event log that discards all events. */
    EventLog NONE = (event, fields) -> {};

    /**
     * Records an event.
     *
     * @param event the name of the kind of decision
     * @param fields alternating field names and values
     */
    void record(String event, Object... fields);
}
