import java.nio.file.Path;
import java.util.Collections;
import java.util.List;

/**
 * Review case: a client receives a long answer over its link while the machine is stopped with SIGTERM. It reads at
 * the pace of a link between regions.
 */
final class SlowReader {
    private static final int ROWS = Integer.getInteger("rows", 8);
    private static final int ROW_BYTES = Integer.getInteger("rowBytes", 1_000_000);
    private static final int BYTES_PER_MS = 21_000_000 / 8 / 1_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        try (System3 system = new System3(record, 1)) {
            system.store.work = (id, text) -> Collections.nCopies(ROWS, "x".repeat(ROW_BYTES));
            Deployment.Node proxy = system.proxies.get(0);
            Session session = new Session(record, proxy.host, "peeks", 65_536);
            long termAtMs = record.elapsedMs();
            if (trouble) {
                proxy.signal("TERM");
            }
            Thread.sleep(Long.getLong("sendAfterMs", 1_500));
            session.send("q1", "READ a");
            long sentMs = record.elapsedMs();
            byte[] buffer = new byte[BYTES_PER_MS * 10];
            long received = 0;
            boolean complete = false;
            String tail = "";
            String end = "the connection ended";
            try {
                for (int n = session.input().read(buffer); n >= 0; n = session.input().read(buffer)) {
                    received += n;
                    tail = (tail + new String(buffer, 0, n, "ISO-8859-1"));
                    tail = tail.substring(Math.max(0, tail.length() - 100));
                    if (tail.matches("(?s).*READY I [0-9.]+\r\n")) {
                        complete = true;
                        break;
                    }
                    long aheadMs = received / BYTES_PER_MS - (record.elapsedMs() - sentMs);
                    if (aheadMs > 0) {
                        Thread.sleep(aheadMs);
                    }
                }
            } catch (java.io.IOException e) {
                end = e.toString();
            }
            record.add("client received " + received + " bytes in " + (record.elapsedMs() - sentMs) + " ms, "
                    + (complete ? "a complete answer" : "no complete answer: " + end));
            record.add("the proxy runs: " + proxy.process.isAlive() + ", " + (record.elapsedMs() - termAtMs)
                    + " ms after SIGTERM");
            record.add(complete ? "kept" : "BROKEN: the connection ended without a complete answer");
            status = complete ? 0 : 1;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }
}
