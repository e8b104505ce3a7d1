package org.hornbeamspread.load;

import java.util.Map;
import java.util.OptionalLong;

/**
 * One agent's rows as the databases hold them.
 *
 * @param times the value of each payment's row by payment id, 0 for an absent row
 * @param balance the agent's balance, 0 for an absent row
 */
record AgentBooks(Map<String, Long> times, long balance) {
    AgentBooks {
        times = Map.copyOf(times);
    }

    /** How often a payment ran; empty when its row was not read. */
    OptionalLong of(Payment payment) {
        Long value = times.get(payment.id());
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }
}
