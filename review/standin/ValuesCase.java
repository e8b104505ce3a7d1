package review.standin;

import java.io.IOException;
import java.util.concurrent.ThreadLocalRandom;

/** PINNED. Databases fail part of their requests; a statement must run with the values that its client's session has. */
final class ValuesCase implements Main.Case {
    private static final double FAILED_SHARE = 0.4;
    private static final int WRITES = 100;

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        if (trouble) {
            Databases.Database grey = deployment.databases.all.get(0);
            deployment.databases.fails = (database, text) ->
                    database == grey && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
        }
        boolean broken = false;
        int served = 0;
        for (int i = 0; i < WRITES; i++) {
            String id = Client.id();
            String value = "v" + i;
            try (Client client = new Client("user" + i, deployment, "main")) {
                client.ask(Client.id(), "SET tenant " + value);
                Client.Answer answer = client.ask(id, "WRITE item" + i + " data");
                served += answer.done() ? 1 : 0;
            } catch (IOException e) {
                record.write("user" + i, "connection ended");
            }
            broken |= ranWithOtherValues(deployment, id, value);
        }
        if (served < WRITES / 10) {
            throw new Main.CannotRun("too few writes were served: " + served);
        }
        return broken;
    }

    private static boolean ranWithOtherValues(Deployment deployment, String id, String value) {
        String values = deployment.databases.valuesAtRun.get(id);
        if (values == null || values.equals("{tenant=" + value + "}")) {
            return false;
        }
        deployment.record.write("check", id + " ran with " + values + " instead of tenant=" + value);
        return true;
    }
}
