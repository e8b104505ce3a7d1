package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The load tool's own books: each payment's intention, written before the first try is sent, and every answer. It knows
 * nothing of the databases; {@link Audit} compares the two. Used by one thread.
 */
final class Ledger {
    private final Map<String, Payment> payments = new LinkedHashMap<>();

    /** Opens a payment. */
    Payment addPayment(String id, String agent, long amount) {
        Payment payment = new Payment(id, agent, amount);
        payments.put(id, payment);
        return payment;
    }

    /** Every payment, in the order of opening. */
    Collection<Payment> payments() {
        return payments.values();
    }

    /** The payments of each agent. */
    Map<String, List<Payment>> byAgent() {
        Map<String, List<Payment>> byAgent = new LinkedHashMap<>();
        for (Payment payment : payments.values()) {
            byAgent.computeIfAbsent(payment.agent(), agent -> new ArrayList<>()).add(payment);
        }
        return byAgent;
    }
}
