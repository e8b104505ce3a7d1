package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The load tool's account of all payments: each payment is added before its first attempt is sent, and then the effect
 * of every attempt. The ledger is independent of the databases; {@link Audit} compares both. Used by one thread.
 */
final class Ledger {
    private final Map<String, Payment> payments = new LinkedHashMap<>();

    /** Adds a payment. */
    Payment addPayment(String id, String agent, long amount) {
        Payment payment = new Payment(id, agent, amount);
        payments.put(id, payment);
        return payment;
    }

    /** All payments, in the order in which they were added. */
    Collection<Payment> payments() {
        return payments.values();
    }

    /** The payments by agent. */
    Map<String, List<Payment>> byAgent() {
        Map<String, List<Payment>> byAgent = new LinkedHashMap<>();
        for (Payment payment : payments.values()) {
            byAgent.computeIfAbsent(payment.agent(), agent -> new ArrayList<>()).add(payment);
        }
        return byAgent;
    }
}
