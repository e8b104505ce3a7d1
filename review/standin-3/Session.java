import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A client's session. It sends one request at a time and waits for the whole answer. */
final class Session implements AutoCloseable {
    private static final int MAX_LINE_BYTES = (1 << 20) + 2;
    private static final int TIMEOUT_MS = 10_000;

    private final Record record;
    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    /**
     * An answer.
     *
     * @param complete whether it ended with READY; false if the connection ended before
     */
    record Answer(List<String> lines, boolean complete) {
        String outcome() {
            return lines.stream()
                    .filter(line -> line.startsWith("DONE") || line.startsWith("ERR"))
                    .findFirst()
                    .orElse("nothing");
        }

        boolean isSuccess() {
            return complete && outcome().startsWith("DONE");
        }
    }

    Session(Record record, String host, String database) throws IOException {
        this(record, host, database, 0);
    }

    Session(Record record, String host, String database, int receiveBufferBytes) throws IOException {
        this.record = record;
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.connect(new InetSocketAddress(host, Deployment.FRONT_PORT), TIMEOUT_MS);
        in = new BufferedInputStream(socket.getInputStream(), 8_192);
        out = socket.getOutputStream();
        Wire.write(out, "START " + database + " caller\r\n");
        String ready = Wire.readLine(in, MAX_LINE_BYTES);
        if (ready == null || !ready.startsWith("READY")) {
            throw new IOException("the session was not opened: " + ready);
        }
    }

    /** Sends a request and reads its answer. */
    Answer query(String id, String text) throws IOException {
        send(id, text);
        return receive(id);
    }

    void send(String id, String text) throws IOException {
        record.add("client sends " + id + " " + Wire.shorten(text));
        Wire.write(out, "QUERY " + id + " " + text + "\r\n");
    }

    Answer receive(String id) {
        List<String> lines = new ArrayList<>();
        String end = "the connection ended";
        try {
            for (String line = Wire.readLine(in, MAX_LINE_BYTES); line != null; line = Wire.readLine(in, MAX_LINE_BYTES)) {
                lines.add(line);
                if (line.startsWith("READY")) {
                    Answer answer = new Answer(lines, true);
                    record.add("client has the answer to " + id + ": " + answer.outcome() + ", " + line);
                    return answer;
                }
            }
        } catch (IOException e) {
            end = e.toString();
        }
        record.add("client has no complete answer to " + id + ": " + end + " after " + lines.size() + " lines");
        return new Answer(lines, false);
    }

    InputStream input() {
        return in;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
