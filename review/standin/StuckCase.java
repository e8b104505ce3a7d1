package review.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gate. A primary is to be replaced while the platform is down for some seconds: control demotes it, but nobody is promoted.
 * Meanwhile the databases of the service crash, and come back with their logs. The service must get a primary again.
 */
final class StuckCase implements Main.Case {
    private static final long LENGTH_MS = 80_000;
    private static final long DRAIN_AT_MS = 6_000;
    private static final long PLATFORM_DOWN_MS = 6_000;
    private static final long CRASH_AFTER_MS = 1_000;
    private static final long DOWN_MS = 7_000;
    private static final int CLIENTS = 6;
    private static final long PAUSE_MS = 250;
    private static final int RETRIES = 2;
    private static final double MOST_NOT_SERVED = 0.6;

    private final AtomicInteger owed = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger servedLate = new AtomicInteger();

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        Databases databases = deployment.databases;
        long startMs = record.nowMs();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String database = new String[] {"main", "own", "old"}[i % 3];
            int number = i;
            Thread client = new Thread(() -> use(deployment, number, database, startMs));
            client.start();
            clients.add(client);
        }
        Record.sleep(DRAIN_AT_MS);
        Databases.Database primary = databases.primary();
        long platformBackMs = record.nowMs() + PLATFORM_DOWN_MS;
        databases.platformDown = trouble;
        primary.drain();
        if (trouble) {
            long endMs = record.nowMs() + 5_000;
            while (primary.primary && record.nowMs() < endMs) {
                Record.sleep(20);
            }
            record.write("case", "the old primary was demoted: " + !primary.primary);
            Record.sleep(CRASH_AFTER_MS);
            for (Databases.Database one : databases.all) {
                one.crash();
            }
            long returnMs = record.nowMs() + DOWN_MS;
            Record.sleep(Math.max(0, platformBackMs - record.nowMs()));
            databases.platformDown = false;
            Record.sleep(Math.max(0, returnMs - record.nowMs()));
            for (Databases.Database one : databases.all) {
                one.restart();
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        double notServed = 1 - (double) served.get() / owed.get();
        record.write("check", "requests " + owed + " served " + served + " not served " + notServed + "; served in the last 30 s "
                + servedLate + "; promotions " + databases.promotions + "; primary "
                + (databases.primary() == null ? "none" : databases.primary().id));
        return notServed > MOST_NOT_SERVED;
    }

    private void use(Deployment deployment, int number, String database, long startMs) {
        Record record = deployment.record;
        long endMs = startMs + LENGTH_MS;
        for (int i = 0; record.nowMs() < endMs - 2_000; i++) {
            long sentMs = record.nowMs();
            boolean done = false;
            String text = i % 5 == 0 && !database.equals("old") ? "WRITE item" + number + " data" + i : "READ item" + number;
            for (int attempt = 0; attempt <= RETRIES && !done; attempt++) {
                try (Client client = new Client("user" + number, deployment, database)) {
                    done = client.ask(Client.id(), text).done();
                } catch (IOException e) {
                    break;
                }
                if (!done) {
                    Record.sleep(100);
                }
            }
            owed.incrementAndGet();
            if (done) {
                served.incrementAndGet();
                if (record.nowMs() > endMs - 30_000) {
                    servedLate.incrementAndGet();
                }
            }
            Record.sleep(Math.max(1, sentMs + PAUSE_MS - record.nowMs()));
        }
    }
}
