package org.hornbeamspread.load;

import java.util.Optional;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** The session of one agent: its token, and the payment that a read with this token must return. Used by one thread. */
final class AgentSession {
    private final String agent;
    private String token = "";
    private String lastProxy = "";

    /** The last acknowledged payment, which the token covers; empty before the first payment. */
    private Optional<Payment> lastPayment = Optional.empty();

    /**
     * The number of acknowledged payments. A read that was sent before the last one returns an older token, which must
     * not replace the current token.
     */
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

    /** Takes over the token that an acknowledged payment returned. */
    void onPaymentAcknowledged(Payment payment, ExecuteResponse response) {
        paymentCount++;
        lastPayment = Optional.of(payment);
        token = response.getSessionToken();
        lastProxy = response.getProxyId();
    }

    /** Takes over the token of a read, unless a payment was acknowledged since the read was sent. */
    void onReadServed(int paymentCountAtSend, ExecuteResponse response) {
        if (paymentCountAtSend == paymentCount) {
            token = response.getSessionToken();
            lastProxy = response.getProxyId();
        }
    }
}
