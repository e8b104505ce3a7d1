import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Review case: a new replica's first heartbeat goes to a control member that stands still. The other replicas receive nothing, and the
 * primary crashes, before another member has heard of the new one.
 */
final class Unheard {
    private static final int WRITERS = 12;
    private static final long DEAF_BEFORE_MS = 100;
    private static final long CRASH_AFTER_MS = 200;
    private static final long OBSERVED_MS = 4_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        Deployment.Node frozen = null;
        try (System3 system = new System3(record, 1)) {
            Store store = system.store;
            store.work = (id, text) -> {
                Thread.sleep(5);
                return List.of("row");
            };
            for (int i = 0; i < WRITERS; i++) {
                Store.daemon(() -> Handover.write(record, system.proxies.get(0)));
            }
            Thread.sleep(2_000);
            frozen = system.core.stream()
                    .filter(node -> !leads(node))
                    .findFirst()
                    .orElseThrow();
            List<String> hosts = new ArrayList<>(system.core.stream().map(node -> node.host).toList());
            hosts.remove(frozen.host);
            hosts.add(0, frozen.host);
            Store.Database primary = store.databases.stream()
                    .filter(database -> database.primary)
                    .findFirst()
                    .orElseThrow();
            if (trouble) {
                frozen.signal("STOP");
                store.setDeaf(true);
                Thread.sleep(DEAF_BEFORE_MS);
            }
            store.addReplica("i-4", system.deployment.prefix + "5.4", hosts);
            Thread.sleep(CRASH_AFTER_MS);
            if (trouble) {
                record.add("the primary crashes");
                primary.crash();
            }
            Thread.sleep(OBSERVED_MS);
            record.add(store.committedIds.size() + " acknowledged commits, " + store.lostIds.size()
                    + " of them not in the log of the promoted database");
            boolean broken = !store.lostIds.isEmpty();
            record.add(broken ? "BROKEN: lost " + store.lostIds : "kept");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }

    /** Whether the latest leadership that a member has logged is its own. */
    private static boolean leads(Deployment.Node node) {
        try {
            return node.log()
                    .lines()
                    .filter(line -> line.contains("\"control_leadership\""))
                    .reduce((earlier, later) -> later)
                    .filter(line -> line.contains("\"self\":true"))
                    .isPresent();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
