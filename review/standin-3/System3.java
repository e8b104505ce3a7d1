import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Three control members, proxies, and one service, started and serving. */
final class System3 implements AutoCloseable {
    private static final long READY_TIMEOUT_MS = 30_000;

    final Deployment deployment;
    final List<Deployment.Node> core;
    final List<Deployment.Node> proxies = new ArrayList<>();
    final Store store;

    System3(Record record, int proxyCount) throws Exception {
        deployment = new Deployment(record);
        core = deployment.addControl(3);
        List<String> hosts = core.stream().map(node -> node.host).toList();
        store = new Store(record, deployment, hosts);
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(deployment.add("front-" + (i + 1), "proxy", deployment.prefix + "7." + (1 + i), hosts));
        }
        core.forEach(Deployment.Node::start);
        proxies.forEach(Deployment.Node::start);
        if (!new Operator(record).put(Operator.configuration(1), hosts, READY_TIMEOUT_MS)) {
            throw new IllegalStateException("the configuration was not acknowledged");
        }
        for (Deployment.Node proxy : proxies) {
            await(() -> serves(record, proxy));
        }
        record.add("every proxy serves");
    }

    private static boolean serves(Record record, Deployment.Node proxy) {
        try (Session session = new Session(record, proxy.host, "books")) {
            return session.query("warm" + record.elapsedMs(), "WRITE w 1").isSuccess();
        } catch (Exception e) {
            return false;
        }
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        long endNs = System.nanoTime() + READY_TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new IllegalStateException("not ready in time");
            }
            Thread.sleep(100);
        }
    }

    @Override
    public void close() throws Exception {
        deployment.close();
        store.close();
    }
}
