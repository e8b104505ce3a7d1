package org.hornbeamspread.load;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The rows of one agent, as read from the databases.
 *
 * @param executionCounts the value of each payment's row, by payment id; 0 for an absent row
 * @param balance the agent's balance; 0 for an absent row
 */
record AgentRows(Map<String, Long> executionCounts, long balance) {
    AgentRows {
        executionCounts = Map.copyOf(executionCounts);
    }

    /** The number of times that a payment ran; empty when its row was not read. */
    OptionalLong executionCount(Payment payment) {
        Long count = executionCounts.get(payment.id());
        return count == null ? OptionalLong.empty() : OptionalLong.of(count);
    }
}
