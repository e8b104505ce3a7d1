package org.hornbeamspread.load;

import java.util.Optional;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** One agent's session: its token and the payment that the token must make visible. Used by one thread. */
final class AgentSession {
    private final String agent;
    private String token = "";
    private String lastProxy = "";

    /** The payment that the token was returned with, or that it covers; empty before the first. */
    private Optional<Payment> lastPayment = Optional.empty();

    /** Raised with each payment, so that a read that was sent before it doesn't bring back an older token. */
    private int paymentCount;

    AgentSession(String agent) {
        this.agent = agent;
    }

    String agent() {
        return agent;
    }

    String token() {
        return token;
    }

    String lastProxy() {
        return lastProxy;
    }

    Optional<Payment> lastPayment() {
        return lastPayment;
    }

    int paymentCount() {
        return paymentCount;
    }

    /** A payment was acknowledged. */
    void onPaymentAcknowledged(Payment payment, ExecuteResponse answer) {
        paymentCount++;
        lastPayment = Optional.of(payment);
        token = answer.getSessionToken();
        lastProxy = answer.getProxyId();
    }

    /** A read that was sent in an epoch was answered. */
    void onReadServed(int sentInEpoch, ExecuteResponse answer) {
        if (sentInEpoch == paymentCount) {
            token = answer.getSessionToken();
            lastProxy = answer.getProxyId();
        }
    }
}
