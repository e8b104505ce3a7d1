package review.standin2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** A client that writes single statements or short transactions in one session after the other, and records what was acknowledged. */
final class Writer implements Database.Task {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final Group group;
    private final InetSocketAddress front;
    private final boolean transactions;
    private final long pauseMs;
    private volatile boolean stopped;

    Writer(Group group, InetSocketAddress front, boolean transactions, long pauseMs) {
        this.group = group;
        this.front = front;
        this.transactions = transactions;
        this.pauseMs = pauseMs;
    }

    void stop() {
        stopped = true;
    }

    @Override
    public void run() throws InterruptedException {
        while (!stopped) {
            try (Socket socket = new Socket()) {
                socket.connect(front, 1_000);
                socket.setSoTimeout(4_000);
                session(new Wire(socket));
            } catch (IOException e) {
                Thread.sleep(50);
            }
        }
    }

    private void session(Wire wire) throws IOException, InterruptedException {
        wire.write("START book writer\r\n");
        if (!wire.readLine().startsWith("READY")) {
            return;
        }
        while (!stopped) {
            long number = NEXT_ID.getAndIncrement();
            String data = "d" + number;
            String answer;
            if (transactions) {
                String begun = query(wire, "b" + number, "BEGIN");
                String written = query(wire, "w" + number, "WRITE k" + number + " " + data);
                if (!begun.equals("DONE") || !written.equals("DONE")) {
                    return;
                }
                pause();
                answer = query(wire, "c" + number, "COMMIT");
            } else {
                answer = query(wire, "w" + number, "WRITE k" + number + " " + data);
                pause();
            }
            group.record.line("answer for " + data + " at " + front.getHostString() + ": " + answer);
            if (answer.equals("DONE")) {
                group.onAcknowledged(data);
            } else {
                return;
            }
        }
    }

    /** Half to three halves of the mean pause. */
    private void pause() throws InterruptedException {
        Thread.sleep(pauseMs / 2 + ThreadLocalRandom.current().nextLong(pauseMs));
    }

    /** The outcome: DONE, or the error's code. */
    private static String query(Wire wire, String id, String text) throws IOException {
        wire.write("QUERY " + id + " " + text + "\r\n");
        String outcome = "";
        while (true) {
            String[] words = wire.readLine().split(" ", 3);
            if (words[0].equals("DONE")) {
                outcome = "DONE";
            } else if (words[0].equals("ERR")) {
                outcome = words[1];
            } else if (words[0].equals("READY")) {
                return outcome;
            }
        }
    }
}
