package review.standin2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Lines that end with CR LF on a socket. Reads are for one thread; writes are synchronized. */
final class Wire implements AutoCloseable {
    private final Socket socket;
    private final InputStream input;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        while (true) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException();
            }
            if (previous == '\r' && next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.substring(0, text.length() - 1);
            }
            line.write(next);
            previous = next;
        }
    }

    void write(String text) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The peer has closed it.
        }
    }
}
