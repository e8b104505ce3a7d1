import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Review case: a core machine is lost during the first start of the whole system. */
final class FirstStart {
    private static final long KILL_AFTER_MS = 50;
    private static final long REPLACEMENT_AFTER_MS = 2_000;
    private static final long STABLE_WINDOW_MS = 4_000;
    private static final long ACK_TIMEOUT_MS = 5_000;
    private static final long OBSERVED_MS = 30_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        try (Deployment deployment = new Deployment(record)) {
            List<Deployment.Node> core = deployment.addControl(3);
            core.forEach(Deployment.Node::start);
            Thread.sleep(KILL_AFTER_MS);
            Deployment.Node lost = core.get(arguments.length > 1 ? Integer.parseInt(arguments[1]) : 1);
            List<String> hosts = new ArrayList<>(core.stream().map(node -> node.host).toList());
            if (trouble) {
                lost.signal("KILL");
                record.add(lost.name + " is lost for good");
                hosts.remove(lost.host);
                Thread.sleep(REPLACEMENT_AFTER_MS);
                Deployment.Node replacement = deployment.add("core-4", "control", deployment.prefix + "2.40", hosts);
                replacement.firstStart = false;
                replacement.start();
                hosts.add(replacement.host);
                Thread.sleep(STABLE_WINDOW_MS);
            }
            long sentMs = record.elapsedMs();
            record.add("the operator sends the first configuration; " + hosts);
            boolean acknowledged =
                    new Operator(record).put(Operator.configuration(1), hosts, OBSERVED_MS);
            long tookMs = record.elapsedMs() - sentMs;
            long running = core.stream().filter(node -> node.process.isAlive()).count();
            record.add("core processes of the first start that run: " + running + " of 3");
            record.add(acknowledged ? "acknowledged after " + tookMs + " ms" : "not acknowledged in " + tookMs + " ms");
            boolean broken = !acknowledged || tookMs > ACK_TIMEOUT_MS;
            record.add(broken ? "BROKEN: no acknowledgement within ack_timeout_ms, the core being stable" : "kept");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }
}
