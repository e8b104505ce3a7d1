package org.hornbeamspread.proxy.session;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.hornbeamspread.core.sql.SqlError;
import org.hornbeamspread.core.sql.SqlStatement;
import org.hornbeamspread.core.sql.SqlStatement.Begin;
import org.hornbeamspread.core.sql.SqlStatement.Commit;
import org.hornbeamspread.core.sql.SqlStatement.Read;
import org.hornbeamspread.core.sql.SqlStatement.Rollback;
import org.hornbeamspread.core.sql.SqlStatement.SetValue;
import org.hornbeamspread.core.sql.SqlStatement.Write;
import org.hornbeamspread.core.sql.TransactionState;
import org.hornbeamspread.proxy.session.EngineHarness.Client;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against statements of different sessions mixing on pooled connections. Random clients share few connections and
 * disconnect at any time, while connections are reset, statements fail, databases stop responding and the primary changes. Each
 * statement must run inside its own client's transaction and with its own client's values, and no statement may run after its
 * transaction was reported as not committed.
 */
final class SessionHistoriesTest {
    private static final int STEPS = 400;
    private static final int CLIENTS = 12;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 6})
    void statementsRunOnlyInTheirOwnTransactionAndWithTheirOwnValues(int proxies) {
        for (int seed = 0; seed < 60; seed++) {
            new History(seed, proxies).run();
        }
    }

    private static final class Actor {
        final int number;
        Client client;
        Map<String, String> values = new TreeMap<>();
        boolean inTransaction;
        int transactions;
        int sentRequests;

        Actor(int number) {
            this.number = number;
        }
    }

    private static final class History {
        private final EngineHarness harness = new EngineHarness();
        private final Random random;
        private final int seed;
        private final int proxies;
        private final List<Actor> actors = new ArrayList<>();

        /** The transaction in which each statement was sent; empty outside of one. */
        private final Map<String, String> transactionById = new HashMap<>();

        private final Map<String, Map<String, String>> valuesById = new HashMap<>();
        private final Map<String, Actor> actorById = new HashMap<>();
        private int clientCount;

        History(int seed, int proxies) {
            this.seed = seed;
            this.random = new Random(seed);
            this.proxies = proxies;
        }

        void run() {
            harness.loadConfiguration(2, 12, proxies);
            harness.databases.forEach(database -> database.injectedError =
                    request -> random.nextInt(25) == 0 && !request.id().equals("-")
                            ? Optional.of(randomError())
                            : Optional.empty());
            for (int i = 0; i < CLIENTS; i++) {
                actors.add(new Actor(i));
            }
            for (int step = 0; step < STEPS; step++) {
                injectFault();
                actors.forEach(this::step);
                harness.run(random.nextInt(20));
            }
            checkIsolation();
        }

        private SqlError randomError() {
            SqlError[] candidates = {SqlError.BUSY, SqlError.FAILED, SqlError.TIMEOUT, SqlError.REPLICA_LAGGING};
            return candidates[random.nextInt(candidates.length)];
        }

        private void injectFault() {
            FakeDatabase database = harness.databases.get(random.nextInt(3));
            switch (random.nextInt(40)) {
                case 0 -> database.resetConnections();
                case 1 -> database.statementsHang = !database.statementsHang;
                case 2 -> database.serviceMs = 1L + random.nextInt(80);
                case 3 -> {
                    harness.databases.forEach(other -> other.primary = other == database);
                    if (random.nextBoolean()) {
                        harness.loadConfiguration(3, 12, proxies);
                    }
                }
                case 4 -> database.reachable = !database.reachable;
                case 5 -> harness.loadConfiguration(4, 6 + random.nextInt(12), proxies);
                default -> {}
            }
        }

        private void step(Actor actor) {
            if (actor.client == null || actor.client.closed || actor.client.refusal.isPresent()) {
                String[] routes = {
                    EngineHarness.PRIMARY_ROUTE,
                    EngineHarness.BOUNDED_STALENESS_ROUTE,
                    EngineHarness.READ_YOUR_WRITES_ROUTE
                };
                actor.client = harness.open(routes[random.nextInt(routes.length)]);
                actor.values = new TreeMap<>();
                actor.inTransaction = false;
                actor.sentRequests = 0;
                clientCount++;
                return;
            }
            if (random.nextInt(60) == 0) {
                actor.client.session.orElseThrow().onClosed();
                actor.client.closed = true;
                return;
            }
            if (actor.client.replies.size() < actor.sentRequests || random.nextInt(3) == 0) {
                return;
            }
            boolean failed = actor.sentRequests > 0 && actor.client.lastReply().state() != TransactionState.OPEN;
            actor.inTransaction &= !failed;
            send(actor);
        }

        private void send(Actor actor) {
            String id = "s" + seed + "-" + actor.number + "-" + clientCount + "-" + transactionById.size();
            SqlStatement statement = nextStatement(actor);
            if (statement instanceof Begin) {
                actor.transactions++;
            }
            transactionById.put(id, actor.inTransaction ? actor.number + "/" + actor.transactions : "");
            valuesById.put(id, Map.copyOf(actor.values));
            actorById.put(id, actor);
            actor.sentRequests++;
            actor.client.send(id, statement);
            if (statement instanceof SetValue set && actor.client.lastReply().isSuccess()) {
                actor.values.put(set.name(), set.value());
            }
            if (statement instanceof Begin) {
                actor.inTransaction = actor.client.lastReply().state() == TransactionState.OPEN;
            }
            if (statement instanceof Commit || statement instanceof Rollback) {
                actor.inTransaction = false;
            }
        }

        private SqlStatement nextStatement(Actor actor) {
            boolean transactionFailed =
                    actor.sentRequests > 0 && actor.client.lastReply().state() == TransactionState.FAILED;
            if (transactionFailed) {
                return new Rollback();
            }
            switch (random.nextInt(actor.inTransaction ? 6 : 5)) {
                case 0 -> {
                    return new Write("item", "1");
                }
                case 1 -> {
                    if (!actor.inTransaction) {
                        return new Begin(random.nextInt(3) == 0);
                    }
                    return new Commit();
                }
                case 2 -> {
                    return new SetValue("zone", String.valueOf(random.nextInt(3)));
                }
                case 5 -> {
                    return new Rollback();
                }
                default -> {
                    return new Read("item");
                }
            }
        }

        private void checkIsolation() {
            for (FakeDatabase database : harness.databases) {
                for (FakeDatabase.ExecutedStatement run : database.executedStatements) {
                    String transaction = transactionById.get(run.id());
                    boolean inOwnTransaction = transaction.isEmpty()
                            ? run.transactionIds().size() <= 1
                            : run.transactionIds().stream()
                                    .allMatch(
                                            other -> transactionById.get(other).equals(transaction));
                    assertWithMessage("seed %s: %s of %s ran in %s", seed, run.id(), transaction, run.transactionIds())
                            .that(inOwnTransaction
                                    && (transaction.isEmpty()
                                            || !run.transactionIds().isEmpty()))
                            .isTrue();
                    assertWithMessage("seed %s: values of %s", seed, run.id())
                            .that(run.values())
                            .isEqualTo(valuesById.get(run.id()));
                }
            }
        }
    }
}
