package review.standin;

/** PINNED. Two clients prepare statements whose shapes differ by a blank and an underscore. */
final class ShapesCase implements Main.Case {
    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        String[] shapes = trouble ? new String[] {"READ q 2", "READ q_2"} : new String[] {"READ q1", "READ q2"};
        boolean broken = false;
        for (int i = 0; i < 20; i++) {
            String shape = shapes[i % 2];
            String id = Client.id();
            try (Client client = new Client("user" + i, deployment, "main")) {
                client.ask(Client.id(), "PREPARE s1 " + shape);
                client.ask(id, "EXEC s1 item" + i);
            }
            String ran = deployment.databases.shapeAtRun.get(id);
            if (ran != null && !ran.equals(shape)) {
                record.write("check", id + " ran shape " + ran + " instead of " + shape);
                broken = true;
            }
        }
        return broken;
    }
}
