package review.standin;

import java.io.IOException;

/**
 * LOST. One replica receives nothing for some seconds. The other starts again under its id, without its log, and has received a
 * part of the log when the primary crashes. Its first heartbeat comes one heartbeat interval after its start.
 */
final class EmptiedCase implements Main.Case {
    private static final long HEARTBEAT_MS = 1_200;
    private static final long DEAF_MS = 6_500;
    private static final long WRITES_WHILE_DEAF_MS = 2_000;
    private static final long REPLICA_DOWN_MS = 300;
    private static final long CRASH_AFTER_START_MS = 300;
    private static final long PRIMARY_DOWN_MS = 7_000;
    private static final int CATCH_UP_ENTRIES_PER_STEP = 1;

    private volatile boolean writing = true;

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        Databases databases = deployment.databases;
        Databases.Database primary = databases.primary();
        Databases.Database emptied = databases.all.stream().filter(one -> one != primary).findFirst().get();
        Databases.Database deaf =
                databases.all.stream().filter(one -> one != primary && one != emptied).findFirst().get();
        Thread writer = new Thread(() -> write(deployment));
        writer.start();
        Record.sleep(5_000);
        if (trouble) {
            setDeaf(databases, deaf, true);
            long deafAtMs = record.nowMs();
            Record.sleep(WRITES_WHILE_DEAF_MS);
            emptied.crash();
            Record.sleep(REPLICA_DOWN_MS);
            emptied.restartEmpty(HEARTBEAT_MS, CATCH_UP_ENTRIES_PER_STEP);
            Record.sleep(CRASH_AFTER_START_MS);
            primary.crash();
            long crashedAtMs = record.nowMs();
            Record.sleep(Math.max(0, deafAtMs + DEAF_MS - record.nowMs()));
            setDeaf(databases, deaf, false);
            Record.sleep(Math.max(0, crashedAtMs + PRIMARY_DOWN_MS - record.nowMs()));
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
