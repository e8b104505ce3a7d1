import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Review case: the primary is replaced while its replicas receive nothing for three seconds. A proxy is killed and starts again
 * while the primary drains.
 */
final class Handover {
    private static final long DEAF_MS = 3_000;
    private static final long KILL_AFTER_ACK_MS = 3_600;
    private static final long RESTART_DELAY_MS = 500;
    private static final long DRAIN_MS = 7_000;
    private static final long STABLE_WINDOW_MS = 4_000;
    private static final long END_AFTER_ACK_MS = 10_500;
    private static final long WRITE_INTERVAL_MS = 40;
    private static final AtomicLong NEXT_ID = new AtomicLong();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        try (System3 system = new System3(record, 2)) {
            Store store = system.store;
            store.work = (id, text) -> {
                Thread.sleep(5);
                return List.of("row");
            };
            store.addReplica("i-4", system.deployment.prefix + "5.4", system.core.stream().map(node -> node.host).toList());
            Deployment.Node restarted = system.proxies.get(1);
            system.proxies.forEach(proxy -> Store.daemon(() -> write(record, proxy)));
            Thread.sleep(2_500);
            if (trouble) {
                store.setDeaf(true);
                Thread.sleep(200);
            }
            Store.Database leaving = store.databases.stream()
                    .filter(database -> database.primary)
                    .findFirst()
                    .orElseThrow();
            leaving.draining = true;
            record.add(leaving.id + " reports that it is draining");
            System3.await(() -> leaving.drainingAckedMs > 0);
            long ackedMs = leaving.drainingAckedMs;
            long inTouchFromMs = 0;
            if (trouble) {
                sleepUntil(record, ackedMs + DEAF_MS);
                store.setDeaf(false);
                sleepUntil(record, ackedMs + KILL_AFTER_ACK_MS);
                restarted.signal("KILL");
                Thread.sleep(RESTART_DELAY_MS);
                restarted.start();
                inTouchFromMs = record.elapsedMs() + STABLE_WINDOW_MS;
            }
            sleepUntil(record, ackedMs + END_AFTER_ACK_MS);
            record.add("the primary at that time: " + store.databases.stream()
                    .filter(database -> database.primary)
                    .map(database -> database.id)
                    .toList());
            leaving.end();
            int late = 0;
            for (Store.Run run : store.runs) {
                boolean inTouch = !run.sender().equals(restarted.name) || run.atMs() > inTouchFromMs;
                if (run.databaseId().equals(leaving.id) && run.atMs() > ackedMs + DRAIN_MS && inTouch) {
                    late++;
                    record.add("LATE: " + run.id() + " reached " + leaving.id + " from " + run.sender() + " "
                            + (run.atMs() - ackedMs) + " ms after the acknowledgement");
                }
            }
            record.add(late > 0 ? "BROKEN: " + late + " statements reached the leaving database after drain_ms" : "kept");
            status = late > 0 ? 1 : 0;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }

    /** Writes at an interval, and opens a new session whenever one ends. */
    static void write(Record record, Deployment.Node proxy) throws InterruptedException {
        while (true) {
            try (Session session = new Session(record, proxy.host, "books")) {
                while (session.query(proxy.name + "-" + NEXT_ID.incrementAndGet(), "WRITE k 1").complete()) {
                    Thread.sleep(WRITE_INTERVAL_MS);
                }
            } catch (java.io.IOException e) {
                Thread.sleep(WRITE_INTERVAL_MS);
            }
        }
    }

    private static void sleepUntil(Record record, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - record.elapsedMs()));
    }
}
