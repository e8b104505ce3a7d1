import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Lines of the wire protocol, which end with CR LF. */
final class Wire {
    private static final int SHOWN_CHARACTERS = 60;

    private Wire() {}

    /** Reads a line; null at the end of the stream. */
    static String readLine(InputStream in, int maxBytes) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int previous = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (previous == '\r' && next == '\n') {
                String line = bytes.toString(StandardCharsets.ISO_8859_1);
                return line.substring(0, line.length() - 1);
            }
            bytes.write(next);
            if (bytes.size() > maxBytes) {
                throw new IOException("a message over the limit");
            }
            previous = next;
        }
        return null;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String shorten(String text) {
        return text.length() <= SHOWN_CHARACTERS
                ? text
                : text.substring(0, SHOWN_CHARACTERS) + "... (" + text.length() + " characters)";
    }
}
