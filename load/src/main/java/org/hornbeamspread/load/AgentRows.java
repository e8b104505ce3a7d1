package org.hornbeamspread.load;

import java.util.Map;
import java.util.OptionalLong;

/**
 * One agent's rows as the databases hold them.
 *
 * @param times the value of each payment's row by payment id, 0 for an absent row
 * @param balance the agent's balance, 0 for an absent row
 */
record AgentRows(Map<String, Long> executionCounts, long balance) {
    AgentRows {
        executionCounts = Map.copyOf(executionCounts);
    }

    /** How often a payment ran; empty when its row was not read. */
    OptionalLong executionCount(Payment payment) {
        Long value = executionCounts.get(payment.id());
        return value == null ? OptionalLong.empty() : OptionalLong.of(value);
    }
}
