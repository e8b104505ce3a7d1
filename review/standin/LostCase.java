package review.standin;

import java.io.IOException;

/**
 * LOST. A replica leaves; control receives its deregistration, but the answers are lost, so the replica ends some seconds later
 * and counts toward sync_replicas until then. Meanwhile the other replica receives nothing, and the primary crashes.
 */
final class LostCase implements Main.Case {
    private static final long DRAIN_MS = 7_000;
    private static final long EXIT_WITHOUT_ANSWER_MS = 5_000;
    private static final long DEAF_AFTER_MS = 3_400;
    private static final long DEAF_MS = 6_500;
    private static final long PRIMARY_DOWN_MS = 7_000;

    private volatile boolean writing = true;

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        Databases databases = deployment.databases;
        Databases.Database primary = databases.all.get(0);
        Databases.Database leaving = databases.all.get(1);
        Databases.Database other = databases.all.get(2);
        Thread writer = new Thread(() -> write(deployment));
        writer.start();
        if (!leaving.drain()) {
            throw new Main.CannotRun("draining was not acknowledged");
        }
        Record.sleep(DRAIN_MS);
        leaving.answersFromControlLost = trouble;
        long leftAtMs = record.nowMs();
        boolean answered = leaving.deregister();
        if (answered) {
            leaving.exit();
        }
        if (trouble) {
            sleepUntil(record, leftAtMs + DEAF_AFTER_MS);
            setDeaf(databases, other, true);
        }
        sleepUntil(record, leftAtMs + EXIT_WITHOUT_ANSWER_MS);
        if (!answered) {
            leaving.exit();
        }
        if (trouble) {
            primary.crash();
            sleepUntil(record, leftAtMs + DEAF_AFTER_MS + DEAF_MS);
            setDeaf(databases, other, false);
            sleepUntil(record, leftAtMs + EXIT_WITHOUT_ANSWER_MS + PRIMARY_DOWN_MS);
            primary.restart();
        }
        Record.sleep(4_000);
        writing = false;
        writer.join();
        record.write("check", "acknowledged " + databases.acknowledgedToClients.size() + " lost " + databases.lostOnPromotion.size());
        if (databases.acknowledgedToClients.size() < 100) {
            throw new Main.CannotRun("too few writes were acknowledged");
        }
        return !databases.lostOnPromotion.isEmpty();
    }

    private static void setDeaf(Databases databases, Databases.Database database, boolean deaf) {
        synchronized (databases) {
            database.deaf = deaf;
        }
        databases.record.write(database.id, deaf ? "receives nothing from now on" : "receives again");
    }

    private static void sleepUntil(Record record, long atMs) {
        Record.sleep(Math.max(0, atMs - record.nowMs()));
    }

    private void write(Deployment deployment) {
        Client client = null;
        for (int i = 0; writing; i++) {
            try {
                if (client == null) {
                    client = new Client("writer", deployment, "main");
                }
                String id = Client.id();
                if (client.ask(id, "WRITE item" + i + " data").done()) {
                    deployment.databases.acknowledgedToClients.add(id);
                }
                Record.sleep(20);
            } catch (IOException e) {
                client = null;
                Record.sleep(100);
            }
        }
    }
}
