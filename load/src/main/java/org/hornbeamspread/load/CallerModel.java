package org.hornbeamspread.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.routing.GroupRouting;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/**
 * The callers: turns each arrival into a request of one agent, holds the agents' sessions, and checks read-your-writes.
 *
 * <p>Each acknowledged payment is followed immediately by a read of its row with the token that it returned, through
 * another proxy; of the payments of a flood, only one in ten. Scheduled reads check the session's last payment in the
 * same way. A served read without the row is a violation; a failed read is no evidence.
 */
final class CallerModel {
    private static final int MAX_FLOOD_ATTEMPTS = 2;
    private static final int FLOOD_CHECK_INTERVAL = 10;
    private static final int MAX_PAYMENT_AMOUNT = 500;
    private static final long US_PER_MS = 1_000;

    private final Workload workload;
    private final Dispatcher dispatcher;
    private final LongSupplier nowUs;
    private final RequestFactory requests;
    private final Ledger ledger = new Ledger();
    private final SplittableRandom random;
    private final List<AgentSession> sessions = new ArrayList<>();
    private final List<RankStatistics> statistics = new ArrayList<>();
    private final Map<String, FailoverGap> gaps = new HashMap<>();
    private final ReadCounts reads = new ReadCounts();
    private long nextRequestNumber;

    CallerModel(Workload workload, Dispatcher dispatcher, LongSupplier nowUs, long seed) {
        this.workload = workload;
        this.dispatcher = dispatcher;
        this.nowUs = nowUs;
        this.requests = new RequestFactory(workload.service());
        this.random = new SplittableRandom(seed ^ 0x5DEECE66DL);
        for (int i = 0; i < workload.agents(); i++) {
            sessions.add(new AgentSession(workload.user() + seed + "-a" + i));
        }
        workload.ranks().forEach(rank -> statistics.add(new RankStatistics(rank)));
        workload.groups().forEach(group -> gaps.put(group, new FailoverGap()));
    }

    Ledger ledger() {
        return ledger;
    }

    ReadCounts reads() {
        return reads;
    }

    List<RankReport> rankReports() {
        return statistics.stream().map(RankStatistics::report).toList();
    }

    Map<String, FailoverGap> gaps() {
        return gaps;
    }

    /** Starts the request of one arrival. */
    void startRequest(Arrival arrival) {
        RankWorkload rank = workload.ranks().get(arrival.rank());
        AgentSession session = sessions.get(random.nextInt(sessions.size()));
        switch (rank.kind()) {
            case PAYMENT -> submitPayment(rank, session, arrival);
            case SESSION_READ -> submitRead(rank, session, arrival.atUs());
            case LEDGER_SCAN -> submit(rank, arrival, requests.ledgerScan(rank, session.agent()), readListener());
            case SYNC_WRITE ->
                submit(
                        rank,
                        arrival,
                        requests.syncWrite(rank, session.agent(), session.agent() + ".s" + nextRequestNumber++),
                        new PendingRequest.RequestListener() {});
        }
    }

    private void submitPayment(RankWorkload rank, AgentSession session, Arrival arrival) {
        long requestNumber = nextRequestNumber++;
        Payment payment = ledger.addPayment(
                session.agent() + ".p" + requestNumber, session.agent(), 1 + random.nextInt(MAX_PAYMENT_AMOUNT));
        boolean checked = !arrival.flood() || requestNumber % FLOOD_CHECK_INTERVAL == 0;
        FailoverGap gap = gaps.get(GroupRouting.groupOf(workload.groups(), session.agent()));
        if (arrival.isMeasured()) {
            gap.offered(arrival.atUs() / US_PER_MS);
        }
        submit(rank, arrival, requests.payment(rank, payment, session.token()), new PendingRequest.RequestListener() {
            @Override
            public int onAttempt() {
                return payment.startAttempt();
            }

            @Override
            public void onAttemptResult(int attempt, AttemptResult result) {
                payment.completeAttempt(attempt, result.effect());
            }

            @Override
            public void onCompleted(PendingRequest pending, Optional<AttemptResult> last) {
                if (arrival.isMeasured()) {
                    gap.completed(nowUs.getAsLong() / US_PER_MS, pending.outcome());
                }
                if (pending.outcome() != Effect.DONE) {
                    return;
                }
                ExecuteResponse response = last.orElseThrow().response().orElseThrow();
                session.onPaymentAcknowledged(payment, response);
                if (checked) {
                    submitRead(workload.readRank(), session, nowUs.getAsLong());
                }
            }
        });
    }

    private void submitRead(RankWorkload rank, AgentSession session, long intendedStartUs) {
        Optional<Payment> expectedPayment = session.lastPayment();
        int paymentCount = session.paymentCount();
        PendingRequest.RequestListener listener = new PendingRequest.RequestListener() {
            @Override
            public void onCompleted(PendingRequest pending, Optional<AttemptResult> last) {
                successfulResponse(last).ifPresent(response -> {
                    session.onReadServed(paymentCount, response);
                    countServedRead(pending, response);
                    if (expectedPayment.isPresent()) {
                        reads.checked(RequestFactory.rowValue(response, 1) > 0);
                    }
                });
            }
        };
        submit(
                rank,
                new Arrival(intendedStartUs, workload.ranks().indexOf(rank), false),
                requests.sessionRead(
                        rank,
                        session.agent(),
                        session.token(),
                        expectedPayment.stream().toList()),
                session.lastProxy(),
                listener);
    }

    private PendingRequest.RequestListener readListener() {
        return new PendingRequest.RequestListener() {
            @Override
            public void onCompleted(PendingRequest pending, Optional<AttemptResult> last) {
                successfulResponse(last).ifPresent(response -> countServedRead(pending, response));
            }
        };
    }

    private void countServedRead(PendingRequest pending, ExecuteResponse response) {
        if (pending.intendedStartUs() >= 0) {
            reads.served(response);
        }
    }

    private static Optional<ExecuteResponse> successfulResponse(Optional<AttemptResult> last) {
        return last.filter(result -> result.effect() == Effect.DONE).flatMap(AttemptResult::response);
    }

    private void submit(
            RankWorkload rank, Arrival arrival, ExecuteRequest request, PendingRequest.RequestListener listener) {
        submit(rank, arrival, request, "", listener);
    }

    private void submit(
            RankWorkload rank,
            Arrival arrival,
            ExecuteRequest request,
            String avoidedProxy,
            PendingRequest.RequestListener listener) {
        RankStatistics counts = statistics.get(arrival.rank());
        counts.offered(arrival.atUs());
        PendingRequest.RequestListener counting = new PendingRequest.RequestListener() {
            @Override
            public int onAttempt() {
                return listener.onAttempt();
            }

            @Override
            public void onAttemptResult(int attempt, AttemptResult result) {
                listener.onAttemptResult(attempt, result);
            }

            @Override
            public void onCompleted(PendingRequest pending, Optional<AttemptResult> last) {
                counts.completed(pending.intendedStartUs(), nowUs.getAsLong(), pending.outcome());
                listener.onCompleted(pending, last);
            }
        };
        int maxAttempts = arrival.flood() ? Math.min(MAX_FLOOD_ATTEMPTS, rank.maxAttempts()) : rank.maxAttempts();
        dispatcher.submit(new PendingRequest(rank, arrival.atUs(), request, maxAttempts, avoidedProxy, counting));
    }
}
