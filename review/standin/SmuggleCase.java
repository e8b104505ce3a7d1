package review.standin;

/**
 * UNASKED. A client writes data that holds a line feed without a carriage return, which does not end a line: a note of two lines,
 * or text that looks like another request.
 */
final class SmuggleCase implements Main.Case {
    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        boolean broken = false;
        for (int i = 0; i < 10; i++) {
            String inner = Client.id();
            String outer = Client.id();
            String separator = trouble ? "\n" : " ";
            String rest = i % 2 == 0 ? "and one jacket" : "QUERY " + inner + " WRITE other" + i + " second";
            String text = "WRITE note" + i + " two pairs of skis" + separator + rest;
            try (Client client = new Client("writer", deployment, "main")) {
                client.ask(outer, text);
                Record.sleep(100);
            }
            String ran = deployment.databases.ran.get(outer);
            if (ran != null && !ran.equals(text)) {
                record.write("check", outer + " ran with changed text: " + ran);
                broken = true;
            }
            if (deployment.databases.ran.containsKey(inner)) {
                record.write("check", inner + " ran, which no client sent as a request");
                broken = true;
            }
        }
        return broken;
    }
}
