import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Review case: SIGHUP reaches processes that were stopped and started in turn a moment before. */
final class Hup {
    private static final long HUP_AFTER_MS = 100;
    private static final long OBSERVED_MS = 1_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        try (System3 system = new System3(record, 2)) {
            int ended = 0;
            List<Deployment.Node> turn = new ArrayList<>(system.proxies);
            turn.add(system.core.get(0));
            for (Deployment.Node node : turn) {
                node.signal("TERM");
                node.process.waitFor();
                node.firstStart = false;
                node.start();
                Thread.sleep(HUP_AFTER_MS);
                if (trouble) {
                    node.signal("HUP");
                }
                Thread.sleep(OBSERVED_MS);
                if (!node.process.isAlive()) {
                    ended++;
                    record.add(node.name + " has ended with " + node.process.exitValue());
                    node.start();
                }
                System3.await(node::isListening);
                record.add(node.name + " listens");
            }
            record.add(ended > 0 ? "BROKEN: " + ended + " of " + turn.size() + " processes ended at SIGHUP" : "kept");
            status = ended > 0 ? 1 : 0;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }
}
