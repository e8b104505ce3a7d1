package org.hornbeamspread.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.Effect;

/**
 * Compares the ledger with the rows that the databases hold after the run.
 *
 * <p>A payment adds 1 to a row of its own and its amount to its agent's balance, in one transaction. So the value of its
 * row says how often it ran, and the balance must be the sum over the agent's payments of amount times that value. From
 * these two alone:
 *
 * <ul>
 *   <li>lost: acknowledged, and its row is absent; or a balance lower than the rows say.
 *   <li>doubled: a row above 1, whatever was answered; or a balance higher than the rows say.
 *   <li>false not-run: every try was answered as not run, and the row is there.
 *   <li>unknown: neither acknowledged nor proved not run. Either state of the row is right, above 1 excepted.
 *   <li>unaudited: its row could not be read. Nothing is claimed of it, and the run does not pass.
 * </ul>
 */
final class Audit {
    private Audit() {}

    /**
     * What the audit found, in payments; a wrong balance counts as one.
     *
     * @param acknowledged payments that were acknowledged
     * @param lost acknowledged payments that are absent, and balances that are too low
     * @param doubled payments that ran more than once, and balances that are too high
     * @param falseNotRun payments that ran although every answer said they did not
     * @param unknown payments whose outcome the caller doesn't know
     * @param unaudited payments whose rows could not be read
     */
    record Result(long acknowledged, long lost, long doubled, long falseNotRun, long unknown, long unaudited) {
        /** Whether the books balance and all of them were seen. */
        boolean isConsistent() {
            return lost == 0 && doubled == 0 && falseNotRun == 0 && unaudited == 0;
        }
    }

    /**
     * Compares.
     *
     * @param books what was read of each agent; an agent that is missing could not be read
     */
    static Result compare(Ledger ledger, Map<String, AgentRows> books) {
        Tally tally = new Tally();
        ledger.byAgent().forEach((agent, payments) -> {
            AgentRows seen = books.get(agent);
            payments.forEach(payment ->
                    tally.countPayment(payment, seen == null ? OptionalLong.empty() : seen.executionCount(payment)));
            if (seen != null) {
                tally.countBalance(payments, seen);
            }
        });
        return tally.result();
    }

    /** The running counts. */
    private static final class Tally {
        private long acknowledged;
        private long lost;
        private long doubled;
        private long falseNotRun;
        private long unknown;
        private long unaudited;

        void countPayment(Payment payment, OptionalLong value) {
            Effect lastWord = payment.outcome();
            acknowledged += lastWord == Effect.DONE ? 1 : 0;
            unknown += lastWord == Effect.UNKNOWN ? 1 : 0;
            if (value.isEmpty()) {
                unaudited++;
                return;
            }
            long times = value.getAsLong();
            lost += lastWord == Effect.DONE && times < 1 ? 1 : 0;
            falseNotRun += lastWord == Effect.NOT_RUN && times > 0 ? 1 : 0;
            doubled += times > 1 ? 1 : 0;
        }

        void countBalance(List<Payment> payments, AgentRows seen) {
            long expected = 0;
            for (Payment payment : payments) {
                expected += payment.amount() * seen.executionCount(payment).orElse(0);
            }
            lost += seen.balance() < expected ? 1 : 0;
            doubled += seen.balance() > expected ? 1 : 0;
        }

        Result result() {
            return new Result(acknowledged, lost, doubled, falseNotRun, unknown, unaudited);
        }
    }
}
