package review.standin;

/**
 * MIXED. Single reads on a primary route, while databases lose the answer of some of the reads that they ran. The client must
 * get the database's signature and row, or an error.
 */
final class MixedCase implements Main.Case {
    private static final int READS = 400;

    /** Every thirtieth answer of a read is lost: under the 0.05 that the sites name. */
    private static final int LOST_EACH = 30;

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        int[] count = {0};
        if (trouble) {
            deployment.databases.losesAnswer = (database, text) -> text.startsWith("READ ") && ++count[0] % LOST_EACH == 0;
        }
        boolean broken = false;
        int served = 0;
        Client client = null;
        for (int i = 0; i < READS; i++) {
            if (client == null) {
                client = new Client("reader", deployment, "main");
            }
            String id = Client.id();
            try {
                Client.Answer answer = client.ask(id, "READ item" + i);
                served += answer.done() ? 1 : 0;
                boolean right = answer.rest.endsWith("." + id) && answer.rows.equals(java.util.List.of("initial-item" + i));
                if (answer.done() && !right) {
                    record.write("check", "success without the database's signature or row: " + id + " " + answer);
                    broken = true;
                }
            } catch (java.io.IOException e) {
                client.close();
                client = null;
            }
        }
        record.write("check", "reads " + READS + " served " + served);
        if (served < READS / 2) {
            throw new Main.CannotRun("too few reads were served");
        }
        return broken;
    }
}
