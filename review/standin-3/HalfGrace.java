import java.nio.file.Path;
import java.util.List;

/**
 * Review case: transactions that were open at SIGTERM, within the first half of grace_s. One sends its COMMIT at 2.6 s, and the
 * database works on it for 300 ms; the other sends a statement at 2.85 s.
 */
final class HalfGrace {
    private static final long COMMIT_AFTER_MS = 2_600;
    private static final long COMMIT_WORK_MS = 300;
    private static final long STATEMENT_AFTER_MS = 2_850;
    private static final long HALF_GRACE_MS = Math.round(Deployment.GRACE_S * 500);

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[0]));
        int status = 2;
        try (System3 system = new System3(record, 1)) {
            system.store.work = (id, text) -> {
                Thread.sleep(text.equals("COMMIT") ? COMMIT_WORK_MS : 5);
                return List.of("row");
            };
            Deployment.Node proxy = system.proxies.get(0);
            Session committing = new Session(record, proxy.host, "books");
            Session working = new Session(record, proxy.host, "books");
            boolean ready = committing.query("a1", "BEGIN").isSuccess()
                    && committing.query("a2", "WRITE x 1").isSuccess()
                    && working.query("b1", "BEGIN").isSuccess()
                    && working.query("b2", "WRITE y 1").isSuccess();
            if (!ready) {
                throw new IllegalStateException("no transaction could be opened");
            }
            if (trouble) {
                proxy.signal("TERM");
            }
            long termMs = record.elapsedMs();
            sleepUntil(record, termMs + COMMIT_AFTER_MS - 1_200);
            boolean kept = committing.query("a3", "READ x").isSuccess() && working.query("b3", "READ y").isSuccess();
            sleepUntil(record, termMs + COMMIT_AFTER_MS);
            committing.send("a4", "COMMIT");
            Session.Answer[] commit = new Session.Answer[1];
            long[] commitAnsweredMs = new long[1];
            Thread reader = Store.daemon(() -> {
                commit[0] = committing.receive("a4");
                commitAnsweredMs[0] = record.elapsedMs() - termMs;
            });
            sleepUntil(record, termMs + STATEMENT_AFTER_MS);
            long statementMs = record.elapsedMs() - termMs;
            Session.Answer statement = working.query("b4", "READ y");
            reader.join();
            Thread.sleep(500);
            record.add("COMMIT sent at " + COMMIT_AFTER_MS + " ms, answered at " + commitAnsweredMs[0] + " ms: "
                    + commit[0].outcome() + "; committed at the database: " + system.store.committedIds.contains("a4"));
            record.add("statement sent at " + statementMs + " ms: " + statement.outcome());
            boolean inTime = statementMs < HALF_GRACE_MS;
            kept &= commit[0].isSuccess() && (statement.isSuccess() || !inTime);
            record.add(kept
                    ? "kept"
                    : "BROKEN: a transaction that was open at SIGTERM was ended before half of grace_s, " + HALF_GRACE_MS + " ms");
            status = kept ? 0 : 1;
        } catch (Exception e) {
            record.add("could not run: " + e);
        }
        System.exit(status);
    }

    private static void sleepUntil(Record record, long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - record.elapsedMs()));
    }
}
