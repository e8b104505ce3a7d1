package review.standin2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** A stand-in database: the wire protocol, and its heartbeats. */
final class Database {
    private static final int HEARTBEAT_MS = 1_200;

    final String id;
    final Group group;
    final String zone;
    final InetSocketAddress address;
    final List<String> log = new ArrayList<>();
    boolean up;
    boolean primary;
    boolean draining;
    long term = 1;
    long pausedTerm;

    /** Whether the database receives nothing. */
    boolean deaf;

    /** Whether the database receives with some delay. */
    boolean slow;

    /** One-way delay between this database and control, in ms. */
    volatile long controlDelayMs;

    /** Callers (the word after the service in START) that can't reach the database: no byte passes. */
    volatile Set<String> cutCallers = Set.of();

    /** Whether the next RESUME gets no answer, and is carried out by {@link #carryOutLateResume}. */
    volatile boolean resumeLate;

    volatile long lateResumeAtMs;
    private final List<String> controlNodes;
    private final Set<Wire> connections = new HashSet<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    private ServerSocket server;
    private long bornMs;
    private long sequence;
    private boolean announceNow;

    /**
     * Creates a database that is down.
     *
     * @param controlNodes host:port of the control nodes, in the order in which the database calls them
     */
    Database(String id, Group group, String zone, InetSocketAddress address, List<String> controlNodes) {
        this.id = id;
        this.group = group;
        this.zone = zone;
        this.address = address;
        this.controlNodes = new ArrayList<>(controlNodes);
    }

    void start() throws IOException {
        synchronized (group) {
            up = true;
            pausedTerm = 0;
            bornMs = System.currentTimeMillis();
            sequence = 0;
        }
        ServerSocket listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(address);
        server = listening;
        run("accept " + id, () -> accept(listening));
        long born = bornMs;
        run("beat " + id, () -> announceLoop(born));
        group.record.line("started " + id);
    }

    /** Ends the process; the log is kept, as that of a primary that crashes. */
    void crash() throws IOException {
        synchronized (group) {
            up = false;
            group.notifyAll();
        }
        server.close();
        List<Wire> open;
        synchronized (connections) {
            open = List.copyOf(connections);
        }
        open.forEach(Wire::close);
        group.record.line("crashed " + id);
    }

    /** Calls a node first from now on, as after an answer of that node. */
    void preferNode(String node) {
        synchronized (controlNodes) {
            while (!controlNodes.get(0).equals(node)) {
                controlNodes.add(controlNodes.remove(0));
            }
        }
    }

    /** Sends the next heartbeat immediately. */
    void announceSoon() {
        synchronized (group) {
            announceNow = true;
            group.notifyAll();
        }
    }

    void drain() {
        group.record.line("draining " + id);
        synchronized (group) {
            draining = true;
        }
        announceSoon();
    }

    static void run(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The connection or the run has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }

    /** Work that ends with its connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private void announceLoop(long born) throws InterruptedException {
        while (true) {
            String body;
            synchronized (group) {
                if (!up || bornMs != born) {
                    return;
                }
                announceNow = false;
                body = String.format(
                        "{\"backend\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,"
                                + "\"state\":\"%s\",\"cold_remaining_ms\":0,\"db_role\":\"%s\",\"seq\":%d,\"born\":%d}",
                        group.service,
                        address.getHostString(),
                        address.getPort(),
                        zone,
                        draining ? "draining" : "ready",
                        primary ? "primary" : "replica",
                        ++sequence,
                        bornMs);
            }
            announce(body);
            synchronized (group) {
                long endMs = System.currentTimeMillis() + HEARTBEAT_MS;
                while (!announceNow && System.currentTimeMillis() < endMs) {
                    group.wait(Math.max(1, endMs - System.currentTimeMillis()));
                }
            }
        }
    }

    /** Calls the node that answered last, then the others; a node that does not answer within a second is passed over. */
    private void announce(String body) throws InterruptedException {
        for (int i = 0; i < controlNodes.size(); i++) {
            String node;
            synchronized (controlNodes) {
                node = controlNodes.get(0);
            }
            if (!cutCallers.contains("control")) {
                try {
                    Thread.sleep(controlDelayMs);
                    HttpRequest request = HttpRequest.newBuilder(
                                    URI.create("http://" + node + "/hornbeamspread/instances/" + id + "/heartbeat"))
                            .timeout(Duration.ofSeconds(1))
                            .POST(HttpRequest.BodyPublishers.ofString(body))
                            .build();
                    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                    if (response.statusCode() / 100 == 2) {
                        group.record.line("heartbeat of " + id + " acknowledged by " + node + " " + body);
                        return;
                    }
                } catch (IOException e) {
                    group.record.line("heartbeat of " + id + " without an answer from " + node);
                }
            }
            synchronized (controlNodes) {
                controlNodes.add(controlNodes.remove(0));
            }
        }
    }

    private void accept(ServerSocket listening) throws IOException {
        while (true) {
            Socket socket = listening.accept();
            run("connection " + id, () -> serve(new Wire(socket)));
        }
    }

    private void serve(Wire wire) throws IOException, InterruptedException {
        synchronized (connections) {
            connections.add(wire);
        }
        try (wire) {
            String[] start = wire.readLine().split(" ");
            String caller = start[2];
            boolean fromControl = caller.startsWith("core");
            awaitUncut(caller, fromControl);
            if (!start[1].equals(group.service) || (start.length > 3 && !start[3].equals(id))) {
                wire.write("ERR MISROUTED " + id + "\r\n");
                return;
            }
            wire.write("READY I " + position() + "\r\n");
            Session session = new Session(caller, fromControl);
            while (true) {
                String[] words = wire.readLine().split(" ", 3);
                awaitUncut(caller, fromControl);
                if (words[0].equals("BYE")) {
                    return;
                }
                if (fromControl) {
                    Thread.sleep(2 * controlDelayMs);
                }
                String answer = session.query(words[1], words[2]);
                awaitUncut(caller, fromControl);
                if (answer != null) {
                    wire.write(answer);
                }
            }
        } finally {
            synchronized (connections) {
                connections.remove(wire);
            }
        }
    }

    /** Across a cut no byte passes; the connection stays silent until the cut has healed. */
    private void awaitUncut(String caller, boolean fromControl) throws InterruptedException {
        while (cutCallers.contains(caller) || (fromControl && cutCallers.contains("control"))) {
            Thread.sleep(20);
        }
    }

    private String position() {
        synchronized (group) {
            return log.isEmpty() ? term + ".0" : term + "." + log.size();
        }
    }

    /** Carries out the RESUME that got no answer. */
    void carryOutLateResume() {
        synchronized (group) {
            pausedTerm = 0;
        }
        group.record.line("RESUME of " + id + " carried out late");
    }

    /** One connection's state. */
    private final class Session {
        private final String caller;
        private final boolean fromControl;
        private final Map<String, String> prepared = new HashMap<>();
        private final Map<String, String> values = new TreeMap<>();
        private final List<String> writes = new ArrayList<>();
        private char state = 'I';
        private boolean plain;

        Session(String caller, boolean fromControl) {
            this.caller = caller;
            this.fromControl = fromControl;
        }

        String query(String queryId, String query) throws InterruptedException {
            String text = query;
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                String[] needed = parts[1].split("\\.");
                synchronized (group) {
                    if (term < Long.parseLong(needed[0]) || log.size() < Long.parseLong(needed[1])) {
                        return error("LAGGING");
                    }
                }
                text = parts[2];
            }
            String[] words = text.split(" ", 3);
            switch (words[0]) {
                case "STATUS", "PAUSE", "RESUME", "DEMOTE":
                    return admin(words);
                case "BEGIN":
                    synchronized (group) {
                        if (words.length == 1 && !primary) {
                            return error("READONLY");
                        }
                    }
                    plain = words.length == 1;
                    state = 'T';
                    return done("-", "");
                case "ROLLBACK":
                    end();
                    return done("-", "");
                case "SET":
                    values.put(words[1], words[2]);
                    return done("-", "");
                case "PREPARE":
                    prepared.put(words[1], words[2]);
                    return done("-", "");
                case "DEALLOC":
                    prepared.remove(words[1]);
                    return done("-", "");
                case "RESET":
                    values.clear();
                    prepared.clear();
                    return done("-", "");
                default:
                    return statement(queryId, words);
            }
        }

        private String statement(String queryId, String[] words) throws InterruptedException {
            Thread.sleep(1 + ThreadLocalRandom.current().nextInt(4));
            boolean write = words[0].equals("WRITE");
            boolean commit = words[0].equals("COMMIT");
            synchronized (group) {
                if (!primary && (write || (plain && state == 'T' && !(commit && writes.isEmpty())))) {
                    return error("READONLY");
                }
            }
            if (write && state == 'T') {
                writes.add(words[2]);
                return done(sign(queryId), "");
            }
            if (write || (commit && !writes.isEmpty())) {
                String entry = write ? words[2] : writes.get(0);
                end();
                if (!group.commit(Database.this, entry)) {
                    group.record.line("no answer for " + entry + " at " + id + ", which leads no longer");
                    return null;
                }
                group.record.line("ran " + entry + " at " + id + " for " + caller);
                return done(sign(queryId), "");
            }
            if (commit) {
                end();
                return done(sign(queryId), "");
            }
            return done(sign(queryId), "ROW row\r\n");
        }

        private String admin(String[] words) {
            synchronized (group) {
                long wanted = words.length > 1 ? Long.parseLong(words[1]) : 0;
                if (words[0].equals("PAUSE") && wanted > term && !primary) {
                    pausedTerm = wanted;
                } else if (words[0].equals("RESUME") && resumeLate) {
                    resumeLate = false;
                    lateResumeAtMs = System.currentTimeMillis();
                    group.record.line("RESUME at " + id + " gets no answer");
                    return null;
                } else if (words[0].equals("RESUME")) {
                    pausedTerm = 0;
                } else if (words[0].equals("DEMOTE") && primary && term < wanted) {
                    primary = false;
                    announceSoon();
                }
                String row = (primary ? "primary " : "replica ") + term + " " + (log.isEmpty() ? "0.0" : position()) + " "
                        + pausedTerm + " 5 0 3";
                if (!words[0].equals("STATUS") || pausedTerm > 0) {
                    group.record.line(String.join(" ", words) + " at " + id + ": " + row);
                }
                return done("-", "ROW " + row + "\r\n");
            }
        }

        private String sign(String queryId) {
            return id + "." + queryId;
        }

        private void end() {
            state = 'I';
            plain = false;
            writes.clear();
        }

        private String done(String signature, String rows) {
            return rows + "DONE " + signature + "\r\nREADY " + state + " " + position() + "\r\n";
        }

        private String error(String code) {
            if (state == 'T') {
                state = 'E';
            }
            return "ERR " + code + " " + id + "\r\nREADY " + state + " " + position() + "\r\n";
        }
    }
}
