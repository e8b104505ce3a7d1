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
 * The callers: turns each arrival into a job of one agent, keeps the agents' sessions, and checks read-your-writes.
 *
 * <p>Each acknowledged payment is followed at once by a read of its row with the token that came with it, through another
 * proxy; the payments of a flood one time in ten. Scheduled reads check the session's last payment in the same way. A
 * read that was answered and lacks the row is a violation; a read that was refused proves nothing.
 */
final class CallerModel {
    private static final int FLOOD_TRIES = 2;
    private static final int FLOOD_CHECK_EVERY = 10;
    private static final int MAX_AMOUNT = 500;
    private static final long US_PER_MS = 1_000;

    private final Workload workload;
    private final Dispatcher dispatcher;
    private final LongSupplier nowUs;
    private final Requests requests;
    private final Ledger ledger = new Ledger();
    private final SplittableRandom random;
    private final List<AgentSession> agents = new ArrayList<>();
    private final List<RankStatistics> statistics = new ArrayList<>();
    private final Map<String, FailoverGap> gaps = new HashMap<>();
    private final ReadCounts reads = new ReadCounts();
    private long nextWork;

    CallerModel(Workload workload, Dispatcher dispatcher, LongSupplier nowUs, long seed) {
        this.workload = workload;
        this.dispatcher = dispatcher;
        this.nowUs = nowUs;
        this.requests = new Requests(workload.service());
        this.random = new SplittableRandom(seed ^ 0x5DEECE66DL);
        for (int i = 0; i < workload.agents(); i++) {
            agents.add(new AgentSession(workload.user() + seed + "-a" + i));
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
    void arrive(Arrival arrival) {
        RankPlan rank = workload.ranks().get(arrival.rank());
        AgentSession agent = agents.get(random.nextInt(agents.size()));
        switch (rank.kind()) {
            case PAYMENT -> pay(rank, agent, arrival);
            case ROAMING_READ -> read(rank, agent, arrival.atUs());
            case LEDGER_SCAN -> submit(rank, arrival, requests.scan(rank, agent.agent()), readListener());
            case SYNC_WRITE ->
                submit(
                        rank,
                        arrival,
                        requests.sync(rank, agent.agent(), agent.agent() + ".s" + nextWork++),
                        new Job.JobListener() {});
        }
    }

    private void pay(RankPlan rank, AgentSession agent, Arrival arrival) {
        long number = nextWork++;
        Payment payment = ledger.open(agent.agent() + ".p" + number, agent.agent(), 1 + random.nextInt(MAX_AMOUNT));
        boolean checked = !arrival.flood() || number % FLOOD_CHECK_EVERY == 0;
        FailoverGap gap = gaps.get(GroupRouting.groupOf(workload.groups(), agent.agent()));
        if (arrival.counted()) {
            gap.offered(arrival.atUs() / US_PER_MS);
        }
        submit(rank, arrival, requests.payment(rank, payment, agent.token()), new Job.JobListener() {
            @Override
            public int onTry() {
                return payment.intend();
            }

            @Override
            public void onAnswer(int number, Answer answer) {
                payment.answer(number, answer.effect());
            }

            @Override
            public void onEnd(Job job, Optional<Answer> last) {
                if (arrival.counted()) {
                    gap.ended(nowUs.getAsLong() / US_PER_MS, job.lastWord());
                }
                if (job.lastWord() != Effect.DONE) {
                    return;
                }
                ExecuteResponse response = last.orElseThrow().response().orElseThrow();
                agent.onPayment(payment, response);
                if (checked) {
                    read(workload.readRank(), agent, nowUs.getAsLong());
                }
            }
        });
    }

    private void read(RankPlan rank, AgentSession agent, long intendedUs) {
        Optional<Payment> mustSee = agent.visiblePayment();
        int epoch = agent.epoch();
        Job.JobListener listener = new Job.JobListener() {
            @Override
            public void onEnd(Job job, Optional<Answer> last) {
                done(last).ifPresent(response -> {
                    agent.onRead(epoch, response);
                    served(job, response);
                    if (mustSee.isPresent()) {
                        reads.checked(Requests.number(response, 1) > 0);
                    }
                });
            }
        };
        submit(
                rank,
                new Arrival(intendedUs, workload.ranks().indexOf(rank), false),
                requests.read(
                        rank, agent.agent(), agent.token(), mustSee.stream().toList()),
                agent.lastProxy(),
                listener);
    }

    private Job.JobListener readListener() {
        return new Job.JobListener() {
            @Override
            public void onEnd(Job job, Optional<Answer> last) {
                done(last).ifPresent(response -> served(job, response));
            }
        };
    }

    private void served(Job job, ExecuteResponse response) {
        if (job.intendedUs() >= 0) {
            reads.served(response);
        }
    }

    private static Optional<ExecuteResponse> done(Optional<Answer> last) {
        return last.filter(answer -> answer.effect() == Effect.DONE).flatMap(Answer::response);
    }

    private void submit(RankPlan rank, Arrival arrival, ExecuteRequest request, Job.JobListener listener) {
        submit(rank, arrival, request, "", listener);
    }

    private void submit(
            RankPlan rank, Arrival arrival, ExecuteRequest request, String avoidedProxy, Job.JobListener listener) {
        RankStatistics counts = statistics.get(arrival.rank());
        counts.offered(arrival.atUs());
        Job.JobListener counting = new Job.JobListener() {
            @Override
            public int onTry() {
                return listener.onTry();
            }

            @Override
            public void onAnswer(int number, Answer answer) {
                listener.onAnswer(number, answer);
            }

            @Override
            public void onEnd(Job job, Optional<Answer> last) {
                counts.ended(job.intendedUs(), nowUs.getAsLong(), job.lastWord());
                listener.onEnd(job, last);
            }
        };
        int tries = arrival.flood() ? Math.min(FLOOD_TRIES, rank.tries()) : rank.tries();
        dispatcher.submit(new Job(rank, arrival.atUs(), request, tries, avoidedProxy, counting));
    }
}
