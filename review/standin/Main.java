package review.standin;

import java.nio.file.Path;
import java.util.Map;

/** Runs one case. Exits with {@link #BROKEN}, {@link #HELD} or {@link #NOT_RUN}; run.sh maps the first to 1. */
public final class Main {
    private static final int HELD = 0;
    private static final int NOT_RUN = 2;

    /** Not 1, with which a Java program ends after an uncaught error. */
    private static final int BROKEN = 10;

    /** A case. Returns whether the rule was broken. */
    interface Case {
        boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception;
    }

    /** The case could not be set up. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    private static final Map<String, Case> CASES = Map.of(
            "lost", new LostCase(),
            "mixed", new MixedCase(),
            "smuggle", new SmuggleCase(),
            "values", new ValuesCase(),
            "shapes", new ShapesCase(),
            "storm", new StormCase(),
            "stuck", new StuckCase(),
            "emptied", new EmptiedCase());

    private Main() {}

    public static void main(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1]));
        int status;
        try (Deployment deployment = new Deployment(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::kill));
            status = CASES.get(arguments[0]).breaks(deployment, record, trouble) ? BROKEN : HELD;
        } catch (Exception | Error e) {
            record.write("case", "could not run: " + e);
            status = NOT_RUN;
        }
        record.write("case", status == BROKEN ? "the rule was BROKEN" : status == HELD ? "the rule held" : "no result");
        System.exit(status);
    }

    /** Starts control, the databases, one proxy and the first configuration. */
    static void startAll(Deployment deployment) throws Exception {
        deployment.startControl();
        deployment.startDatabases();
        if (!deployment.putConfiguration(3, 30_000)) {
            throw new CannotRun("no configuration was acknowledged");
        }
        deployment.startProxy(1);
        if (!deployment.awaitReady(1, 30_000)) {
            throw new CannotRun("the proxy did not become ready");
        }
        awaitService(deployment);
        Record.sleep(5_000);
    }

    /** Waits until a write and a read of each kind succeed. */
    static void awaitService(Deployment deployment) throws Exception {
        long endMs = deployment.record.nowMs() + 20_000;
        for (String database : new String[] {"main", "own", "old"}) {
            boolean served = false;
            while (!served) {
                if (deployment.record.nowMs() > endMs) {
                    throw new CannotRun("not served: " + database);
                }
                try (Client client = new Client("probe", deployment, database)) {
                    served = client.ask(Client.id(), "READ warm").done();
                } catch (java.io.IOException e) {
                    Record.sleep(200);
                }
                if (!served) {
                    Record.sleep(200);
                }
            }
        }
    }
}
