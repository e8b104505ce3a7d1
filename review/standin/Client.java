package review.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client's session on the wire of PROTOCOL.md. */
final class Client implements AutoCloseable {
    private static final AtomicLong NEXT = new AtomicLong(System.nanoTime() & 0xffffffffL);

    private static final int TIMEOUT_MS = 3_000;

    private final Socket socket = new Socket();
    private final Databases.Lines lines;
    private final Record record;
    private final String name;

    /** An answer: rows, then DONE or ERR with the rest of the line, then the state. */
    static final class Answer {
        final List<String> rows = new ArrayList<>();
        String outcome = "";
        String rest = "";
        String state = "";

        boolean done() {
            return outcome.equals("DONE");
        }

        @Override
        public String toString() {
            return outcome + " " + rest + " rows " + rows + " state " + state;
        }
    }

    Client(String name, Deployment deployment, String database) throws IOException {
        this.name = name;
        this.record = deployment.record;
        socket.connect(new InetSocketAddress(deployment.front(1), deployment.frontPort), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        lines = new Databases.Lines(socket.getInputStream());
        raw("START " + database + " " + name + "\r\n");
        String first = lines.next();
        if (first == null || !first.startsWith("READY")) {
            socket.close();
            throw new IOException("not opened: " + first);
        }
    }

    static String id() {
        return String.format("%016x", NEXT.incrementAndGet());
    }

    void raw(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    void send(String id, String text) throws IOException {
        record.write(name, "sends " + id + " " + text);
        raw("QUERY " + id + " " + text + "\r\n");
    }

    Answer receive(String id) throws IOException {
        Answer answer = new Answer();
        for (String line = lines.next(); line != null; line = lines.next()) {
            String[] words = line.split(" ", 2);
            String rest = words.length > 1 ? words[1] : "";
            if (words[0].equals("ROW")) {
                answer.rows.add(rest);
            } else if (words[0].equals("READY")) {
                answer.state = rest.split(" ")[0];
                record.write(name, "gets " + id + " " + answer);
                return answer;
            } else {
                answer.outcome = words[0];
                answer.rest = rest;
            }
        }
        throw new IOException("connection ended");
    }

    Answer ask(String id, String text) throws IOException {
        send(id, text);
        return receive(id);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
