package review.standin2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a case: {@code CASE RECORD}. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With the
 * environment variable TROUBLE=0 the disruption is left out.
 */
public final class Main {
    /** One-way delay between two regions. */
    private static final long REGION_DELAY_MS = 8;

    private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private Main() {}

    public static void main(String[] arguments) {
        int status;
        try (Record record = new Record(Path.of(arguments[1]))) {
            status = run(arguments[0], record);
        } catch (IOException | InterruptedException | RuntimeException e) {
            e.printStackTrace();
            status = 2;
        }
        System.exit(status);
    }

    private static int run(String name, Record record) throws IOException, InterruptedException {
        try (Deployment deployment = new Deployment(record, 3, 2)) {
            boolean ran = switch (name) {
                case "unregistered" -> unregisteredCopy(deployment);
                case "late" -> lateResume(deployment);
                case "odd" -> oddHeartbeat(deployment);
                default -> staleLeader(deployment);
            };
            List<String> lost = deployment.group.lost();
            record.line("acknowledged " + deployment.group.acknowledgedCount() + ", lost " + lost);
            System.out.println(name + (TROUBLE ? "" : " without trouble") + ": acknowledged "
                    + deployment.group.acknowledgedCount() + ", lost " + lost.size());
            return lost.isEmpty() ? (ran ? 0 : 2) : 1;
        }
    }

    /** The databases of the start, the first of them the primary; they call the nodes in this order. */
    private static List<Database> startDatabases(Deployment deployment, List<String> zones)
            throws IOException, InterruptedException {
        List<Database> databases = new ArrayList<>();
        for (int i = 0; i < zones.size(); i++) {
            Database database = new Database(
                    "i-" + (char) ('a' + i),
                    deployment.group,
                    zones.get(i),
                    deployment.databaseAddress(i + 1),
                    deployment.controlNodes());
            database.primary = i == 0;
            database.controlDelayMs = zones.get(i).equals("bom-a") ? REGION_DELAY_MS : 0;
            databases.add(database);
        }
        synchronized (deployment.group) {
            deployment.group.databases.addAll(databases);
        }
        for (Database database : databases) {
            database.start();
        }
        deployment.group.start();
        deployment.awaitReady();
        return databases;
    }

    private static List<Writer> startWriters(Deployment deployment, int count, long pauseMs, int proxies) {
        List<Writer> writers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Writer writer = new Writer(deployment.group, deployment.front(i % proxies), i % 5 < 2, pauseMs);
            Database.run("writer", writer);
            writers.add(writer);
        }
        return writers;
    }

    private static boolean awaitPromotions(Deployment deployment, int count, long timeoutMs) throws InterruptedException {
        long endMs = System.currentTimeMillis() + timeoutMs;
        while (System.currentTimeMillis() < endMs) {
            synchronized (deployment.group) {
                if (deployment.group.promotions >= count) {
                    return true;
                }
            }
            Thread.sleep(20);
        }
        return false;
    }

    /**
     * A primary is replaced: the new database starts, then the old one drains. A core machine that doesn't lead stands still
     * meanwhile, and the new database's first heartbeat goes there.
     */
    private static boolean unregisteredCopy(Deployment deployment) throws IOException, InterruptedException {
        List<Database> databases = startDatabases(deployment, List.of("bom-a", "gnr-a", "gnr-b"));
        startWriters(deployment, 96, 600, 2);
        Thread.sleep(5_000);
        int frozen = (deployment.leader() + 1) % deployment.members.size();
        if (TROUBLE) {
            deployment.record.line("SIGSTOP core-" + frozen);
            Deployment.signal(deployment.members.get(frozen), "STOP");
        }
        List<String> nodes = deployment.controlNodes();
        Collections.rotate(nodes, -frozen);
        // The databases of the start have changed to a node that answers; the new one hasn't called any yet.
        databases.forEach(database -> database.preferNode(nodes.get(1)));
        Thread.sleep(300);
        Database started = new Database("i-new", deployment.group, "bom-a", deployment.databaseAddress(9), nodes);
        started.controlDelayMs = REGION_DELAY_MS;
        synchronized (deployment.group) {
            started.term = databases.get(0).term;
            deployment.group.databases.add(started);
        }
        started.start();
        Thread.sleep(800);
        databases.get(0).drain();
        boolean promoted = awaitPromotions(deployment, 1, 8_000);
        Thread.sleep(500);
        if (TROUBLE) {
            Deployment.signal(deployment.members.get(frozen), "CONT");
            deployment.record.line("SIGCONT core-" + frozen);
        }
        Thread.sleep(1_000);
        return promoted;
    }

    /**
     * Twice the primary is cut off from control and from one of two proxies, and replaced. The RESUME after the first replacement
     * gets no answer, and is carried out during the second.
     */
    private static boolean lateResume(Deployment deployment) throws IOException, InterruptedException {
        List<Database> databases = startDatabases(deployment, List.of("gnr-a", "gnr-b", "bom-a"));
        startWriters(deployment, 96, 600, 2);
        Thread.sleep(4_000);
        databases.forEach(database -> database.resumeLate = TROUBLE);
        cut(deployment, databases.get(0), true);
        boolean first = awaitPromotions(deployment, 1, 8_000);
        Thread.sleep(2_000);
        cut(deployment, databases.get(0), false);
        Database second = deployment.group.primary();
        if (!first || second == null) {
            return false;
        }
        Database resumed = databases.stream()
                .filter(database -> database.lateResumeAtMs > 0)
                .findFirst()
                .orElse(null);
        if (TROUBLE && resumed == null) {
            return false;
        }
        databases.forEach(database -> database.resumeLate = false);
        if (resumed != null) {
            resumed.slow = true;
        } else {
            databases.stream().filter(database -> database != second).findFirst().get().slow = true;
        }
        Thread.sleep(7_200);
        deployment.onPromotionRequested = () -> {
            if (resumed != null) {
                deployment.onPromotionRequested = () -> {};
                deployment.group.timer.schedule(
                        () -> {
                            long lateMs = System.currentTimeMillis() - resumed.lateResumeAtMs;
                            deployment.record.line("RESUME is " + lateMs + " ms late");
                            if (lateMs >= 2_000 && lateMs <= 12_000) {
                                resumed.carryOutLateResume();
                            }
                        },
                        50,
                        TimeUnit.MILLISECONDS);
            }
        };
        cut(deployment, second, true);
        boolean again = awaitPromotions(deployment, 2, 8_000);
        Thread.sleep(1_000);
        cut(deployment, second, false);
        Thread.sleep(500);
        return again;
    }

    /**
     * The primary crashes and comes back. The control leader stands still after it has ordered the promotion of a replica, and
     * wakes while its successor replaces the new primary, which is cut off from control and from one of two proxies.
     */
    private static boolean staleLeader(Deployment deployment) throws IOException, InterruptedException {
        List<Database> databases = startDatabases(deployment, List.of("bom-a", "gnr-a", "gnr-b"));
        startWriters(deployment, 96, 600, 2);
        Thread.sleep(4_000);
        int leader = deployment.leader();
        Database first = databases.get(0);
        CountDownLatch ordered = new CountDownLatch(1);
        deployment.onPromotionRequested = ordered::countDown;
        first.crash();
        if (!ordered.await(8, TimeUnit.SECONDS)) {
            return false;
        }
        Thread.sleep(300);
        long frozenAtMs = System.currentTimeMillis();
        if (TROUBLE) {
            deployment.record.line("SIGSTOP core-" + leader + ", the leader");
            Deployment.signal(deployment.members.get(leader), "STOP");
        }
        Thread.sleep(1_000);
        first.start();
        Database second = deployment.group.primary();
        databases.stream().filter(one -> one != first && one != second).findFirst().get().slow = true;
        // A leader that stays replaces such a primary once in ten seconds.
        Thread.sleep(TROUBLE ? 2_000 : 9_000);
        CountDownLatch orderedAgain = new CountDownLatch(1);
        deployment.onPromotionRequested = orderedAgain::countDown;
        cut(deployment, second, true);
        boolean again = orderedAgain.await(6, TimeUnit.SECONDS);
        Thread.sleep(30);
        if (TROUBLE) {
            Deployment.signal(deployment.members.get(leader), "CONT");
            deployment.record.line("SIGCONT core-" + leader + " after " + (System.currentTimeMillis() - frozenAtMs) + " ms");
        }
        awaitPromotions(deployment, 2, 5_000);
        Thread.sleep(1_000);
        cut(deployment, second, false);
        Thread.sleep(500);
        return again;
    }

    /**
     * Another writer sends one heartbeat of a service that no configuration names, with the address of a replica. Later the other
     * replica receives nothing for a while, and the primary crashes meanwhile.
     */
    private static boolean oddHeartbeat(Deployment deployment) throws IOException, InterruptedException {
        List<Database> databases = startDatabases(deployment, List.of("gnr-a", "gnr-b", "bom-a"));
        startWriters(deployment, 96, 600, 2);
        Thread.sleep(4_000);
        if (TROUBLE) {
            Database named = databases.get(1);
            deployment.sendHeartbeat("i-odd", "other9", named);
        }
        Thread.sleep(5_000);
        deployment.record.line("i-c receives nothing");
        databases.get(2).deaf = true;
        Thread.sleep(3_000);
        databases.get(0).crash();
        boolean promoted = awaitPromotions(deployment, 1, 8_000);
        deployment.record.line("i-c receives again");
        databases.get(2).deaf = false;
        Thread.sleep(1_000);
        return promoted;
    }

    private static void cut(Deployment deployment, Database database, boolean begin) {
        deployment.record.line((begin ? "cut " : "healed ") + database.id + " from control and front-0");
        database.cutCallers = begin ? Set.of("control", "front-0") : Set.of();
    }
}
