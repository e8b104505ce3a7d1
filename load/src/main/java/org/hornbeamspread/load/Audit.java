package org.hornbeamspread.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.Effect;

/**
 * Compares the ledger with the rows that the databases hold after the run.
 *
 * <p>A payment adds 1 to its own row and its amount to its agent's balance, in one transaction. So the value of its row
 * is the number of times that the payment ran, and the balance must be the sum over the agent's payments of amount
 * times that value. These two values and the ledger give:
 *
 * <ul>
 *   <li>lost: an acknowledged payment whose row is absent, or a balance that is lower than the rows require.
 *   <li>doubled: a row above 1, whatever the outcome, or a balance that is higher than the rows require.
 *   <li>false not-run: a payment whose row is present, although every attempt was reported as not run or none was sent.
 *   <li>unknown: a payment that is neither acknowledged nor proved not to have run. Its row may be absent or 1, but not
 *       above 1.
 *   <li>unaudited: a payment whose row could not be read. It is in none of lost, doubled and false not-run, and the run
 *       fails.
 * </ul>
 */
final class Audit {
    private Audit() {}

    /**
     * The counts of the audit, in payments; a wrong balance counts as one payment.
     *
     * @param acknowledged payments that were acknowledged
     * @param lost acknowledged payments that are absent, and balances that are too low
     * @param doubled payments that ran more than once, and balances that are too high
     * @param falseNotRun payments that ran although every attempt was reported as not run
     * @param unknown payments whose outcome is unknown to the caller
     * @param unaudited payments whose rows could not be read
     */
    record Result(long acknowledged, long lost, long doubled, long falseNotRun, long unknown, long unaudited) {
        /** Whether all rows were read and none contradicts the ledger. */
        boolean isConsistent() {
            return lost == 0 && doubled == 0 && falseNotRun == 0 && unaudited == 0;
        }
    }

    /**
     * Compares the ledger with the rows.
     *
     * @param rowsByAgent the rows that were read; without an entry for an agent whose rows could not be read
     */
    static Result compare(Ledger ledger, Map<String, AgentRows> rowsByAgent) {
        Tally tally = new Tally();
        ledger.byAgent().forEach((agent, payments) -> {
            AgentRows rows = rowsByAgent.get(agent);
            payments.forEach(payment ->
                    tally.countPayment(payment, rows == null ? OptionalLong.empty() : rows.executionCount(payment)));
            if (rows != null) {
                tally.countBalance(payments, rows);
            }
        });
        return tally.result();
    }

    /** The counts during the comparison. */
    private static final class Tally {
        private long acknowledged;
        private long lost;
        private long doubled;
        private long falseNotRun;
        private long unknown;
        private long unaudited;

        void countPayment(Payment payment, OptionalLong value) {
            Effect outcome = payment.outcome();
            acknowledged += outcome == Effect.DONE ? 1 : 0;
            unknown += outcome == Effect.UNKNOWN ? 1 : 0;
            if (value.isEmpty()) {
                unaudited++;
                return;
            }
            long executions = value.getAsLong();
            lost += outcome == Effect.DONE && executions < 1 ? 1 : 0;
            falseNotRun += outcome == Effect.NOT_RUN && executions > 0 ? 1 : 0;
            doubled += executions > 1 ? 1 : 0;
        }

        void countBalance(List<Payment> payments, AgentRows rows) {
            long expected = 0;
            for (Payment payment : payments) {
                expected += payment.amount() * rows.executionCount(payment).orElse(0);
            }
            lost += rows.balance() < expected ? 1 : 0;
            doubled += rows.balance() > expected ? 1 : 0;
        }

        Result result() {
            return new Result(acknowledged, lost, doubled, falseNotRun, unknown, unaudited);
        }
    }
}
