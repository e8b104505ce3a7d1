import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-ins for the databases of one service and for the platform's promotions. The databases are sound: replicas receive each commit at
 * once unless they are paused or deaf, a commit is acknowledged once one replica has received it, and every statement answers.
 */
final class Store implements AutoCloseable {
    static final String SERVICE = "store";
    static final int DATABASE_PORT = 8080;
    private static final int MAX_LINE_BYTES = (1 << 20) + 2;
    private static final long HEARTBEAT_MS = 1_000;

    /** The time from a promotion's call until the database leads. */
    private static final long PROMOTE_MS = 600;

    /** How a database serves a statement that takes a slot: how long it works, and the rows that it returns. */
    interface Work {
        List<String> run(String id, String text) throws InterruptedException;
    }

    final List<Database> databases = new CopyOnWriteArrayList<>();
    volatile Work work = (id, text) -> List.of("row");
    private final Record record;
    private final HttpServer platform;
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(Duration.ofSeconds(1))
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final List<AutoCloseable> resources = new CopyOnWriteArrayList<>();
    private volatile List<String> controlHosts;
    private volatile boolean closed;
    private long term = 1;

    /** Ids of the commits that were acknowledged. */
    final List<String> committedIds = new CopyOnWriteArrayList<>();

    /** Ids of the commits that were acknowledged and are missing in the log of a database that was promoted later. */
    final List<String> lostIds = new CopyOnWriteArrayList<>();

    private final List<Commit> commits = new CopyOnWriteArrayList<>();

    private record Commit(String id, long number) {}

    final List<Run> runs = new CopyOnWriteArrayList<>();

    /**
     * A statement of a client that reached a database.
     *
     * @param sender the process that sent it
     * @param atMs on the record's clock
     */
    record Run(String databaseId, String sender, String id, long atMs) {}

    Store(Record record, Deployment deployment, List<String> controlHosts) throws IOException {
        this.record = record;
        this.controlHosts = List.copyOf(controlHosts);
        for (int i = 0; i < 3; i++) {
            databases.add(new Database("i-" + (i + 1), deployment.prefix + "5." + (i + 1), i == 0));
        }
        platform = HttpServer.create(
                new InetSocketAddress(deployment.platformHost(), Deployment.PLATFORM_PORT), 0);
        platform.createContext("/promote", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            record.add("promote " + body);
            daemon(() -> {
                Thread.sleep(PROMOTE_MS);
                promote(body);
            });
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        platform.start();
        databases.forEach(Database::start);
        replicate();
    }

    /** Starts a further replica, which receives the whole log and calls the members in the given order. */
    void addReplica(String id, String host, List<String> hosts) {
        Database added = new Database(id, host, false);
        added.hosts = List.copyOf(hosts);
        databases.add(added);
        added.start();
        record.add(id + " starts as a replica");
        replicate();
    }

    /** The chosen database leads the next term with what it had received, and every pause ends. */
    private synchronized void promote(String body) {
        databases.stream().filter(database -> body.contains("\"" + database.id + "\"")).forEach(chosen -> {
            if (!chosen.primary) {
                commits.stream()
                        .filter(commit -> commit.number() > chosen.number)
                        .forEach(commit -> lostIds.add(commit.id()));
                term++;
                chosen.logTerm = term;
                for (Database database : databases) {
                    database.primary = database == chosen;
                    database.number = Math.min(database.number, chosen.number);
                    database.heldTerm = 0;
                }
                record.add(chosen.id + " leads term " + term);
            }
        });
        replicate();
    }

    /** Replicas receive what the primary has, unless they are paused or deaf. */
    private synchronized void replicate() {
        databases.stream().filter(database -> database.primary).forEach(primary -> {
            for (Database replica : databases) {
                if (replica != primary && replica.started && !replica.deaf && replica.heldTerm == 0) {
                    replica.logTerm = primary.logTerm;
                    replica.number = primary.number;
                }
            }
        });
        notifyAll();
    }

    synchronized void setDeaf(boolean deaf) {
        databases.forEach(database -> database.deaf = deaf);
        record.add(deaf ? "every replica receives nothing" : "the replicas receive again");
        replicate();
    }

    /** Appends a commit, and waits until a replica has received it. Fails if another database was promoted without it. */
    private synchronized void commit(Database primary, String id) throws IOException, InterruptedException {
        long own = ++primary.number;
        replicate();
        while (databases.stream().noneMatch(replica -> replica != primary && replica.number >= own)) {
            if (closed || primary.number < own) {
                throw new IOException("the commit was rolled back");
            }
            wait(100);
        }
        committedIds.add(id);
        commits.add(new Commit(id, own));
    }

    @Override
    public void close() {
        closed = true;
        platform.stop(0);
        resources.forEach(Store::closeQuietly);
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception e) {
            // The resource is not used any more.
        }
    }

    /** One database. */
    final class Database {
        final String id;
        final String host;
        volatile boolean primary;
        volatile long heldTerm;
        volatile boolean deaf;
        volatile boolean draining;

        /** When a member acknowledged that the database is draining, on the record's clock; 0 before. */
        volatile long drainingAckedMs;

        volatile boolean started;

        /** The control members, in the order in which the database calls them. */
        List<String> hosts = controlHosts;

        private volatile boolean ended;

        /** The position of the log. */
        private long logTerm = 1;

        private long number;
        private long bornMs;

        Database(String id, String host, boolean primary) {
            this.id = id;
            this.host = host;
            this.primary = primary;
        }

        String position() {
            synchronized (Store.this) {
                return logTerm + "." + number;
            }
        }

        /** Whether the log has a position of the same history. */
        boolean covers(String position) {
            synchronized (Store.this) {
                return number >= Long.parseLong(position.substring(position.indexOf('.') + 1));
            }
        }

        /** Ends the process: deregisters, and closes every connection. */
        void end() {
            call("deregister", "{\"born\":" + bornMs + "}");
            crash();
        }

        /** The process ends, and sends nothing any more. */
        void crash() {
            ended = true;
            record.add(id + " ends");
            ownResources.forEach(Store::closeQuietly);
            synchronized (Store.this) {
                databases.remove(this);
            }
        }

        private final List<AutoCloseable> ownResources = new CopyOnWriteArrayList<>();

        void start() {
            started = true;
            bornMs = System.currentTimeMillis();
            try {
                ServerSocket server = new ServerSocket(DATABASE_PORT, 256, InetAddress.getByName(host));
                resources.add(server);
                ownResources.add(server);
                daemon(() -> {
                    while (!closed) {
                        Socket socket = server.accept();
                        ownResources.add(socket);
                        socket.setTcpNoDelay(true);
                        daemon(() -> new Connection(this, socket).serve());
                    }
                });
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            daemon(this::sendHeartbeats);
        }

        /** Sends a heartbeat each second, and at once when the role or the state has changed. */
        private void sendHeartbeats() throws InterruptedException {
            String sent = "";
            long sentMs = 0;
            for (int seq = 1; !closed && !ended; ) {
                String state = "\"state\":\"" + (draining ? "draining" : "ready") + "\",\"db_role\":\""
                        + (primary ? "primary" : "replica") + "\"";
                if (!state.equals(sent) || record.elapsedMs() - sentMs >= HEARTBEAT_MS) {
                    boolean drains = draining;
                    sentMs = record.elapsedMs();
                    sent = state;
                    boolean acknowledged = call("heartbeat", "{\"backend\":\"" + SERVICE + "\",\"address\":\"" + host + ":"
                            + DATABASE_PORT + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":5,\"cold_remaining_ms\":0,"
                            + state + ",\"seq\":" + seq++ + ",\"born\":" + bornMs + "}");
                    if (acknowledged && drains && drainingAckedMs == 0) {
                        drainingAckedMs = record.elapsedMs();
                        record.add(id + " has the acknowledgement that it is draining");
                    }
                }
                Thread.sleep(20);
            }
        }

        /** Calls one member after the other until one acknowledges. */
        private boolean call(String name, String body) {
            for (String control : hosts) {
                try {
                    HttpResponse<Void> answer = http.send(
                            HttpRequest.newBuilder(URI.create("http://" + control + ":" + Deployment.CONTROL_PORT
                                            + "/hornbeamspread/instances/" + id + "/" + name))
                                    .timeout(Duration.ofSeconds(1))
                                    .POST(HttpRequest.BodyPublishers.ofString(body))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding());
                    if (answer.statusCode() / 100 == 2) {
                        return true;
                    }
                } catch (IOException e) {
                    // The next member is called.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return false;
                }
            }
            return false;
        }
    }

    /** One connection to a database. */
    private final class Connection {
        private final Database database;
        private final Socket socket;
        private final InputStream in;
        private final OutputStream out;
        private final Map<String, String> prepared = new HashMap<>();
        private final List<String> writes = new ArrayList<>();
        private char state = 'I';
        private String sender = "";

        Connection(Database database, Socket socket) throws IOException {
            this.database = database;
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 65_536);
            this.out = socket.getOutputStream();
        }

        void serve() throws Exception {
            try (socket) {
                String[] start = Wire.readLine(in, MAX_LINE_BYTES).split(" ", 4);
                boolean here = start.length >= 2
                        && start[0].equals("START")
                        && start[1].equals(SERVICE)
                        && (start.length < 4 || start[3].equals(database.id));
                if (!here) {
                    Wire.write(out, "ERR MISROUTED " + database.id + "\r\n");
                    return;
                }
                sender = start[2];
                answer("");
                for (String line = Wire.readLine(in, MAX_LINE_BYTES);
                        line != null && line.startsWith("QUERY ");
                        line = Wire.readLine(in, MAX_LINE_BYTES)) {
                    String[] words = line.split(" ", 3);
                    query(words[1], words[2]);
                }
            }
        }

        private void query(String id, String text) throws Exception {
            String statement = text;
            if (statement.startsWith("AFTER ")) {
                if (!database.covers(statement.split(" ", 3)[1])) {
                    answer("ERR LAGGING " + database.id + "\r\n");
                    return;
                }
                statement = statement.split(" ", 3)[2];
            }
            String[] words = statement.split(" ", 3);
            switch (words[0]) {
                case "BEGIN" -> {
                    if (words.length == 1 && !database.primary) {
                        answer("ERR READONLY " + database.id + "\r\n");
                        return;
                    }
                    state = 'T';
                    answer("DONE -\r\n");
                }
                case "ROLLBACK" -> {
                    state = 'I';
                    writes.clear();
                    answer("DONE -\r\n");
                }
                case "PREPARE" -> {
                    prepared.put(words[1], words[2]);
                    answer("DONE -\r\n");
                }
                case "SET", "DEALLOC" -> answer("DONE -\r\n");
                case "RESET" -> {
                    prepared.clear();
                    answer("DONE -\r\n");
                }
                case "STATUS", "PAUSE", "RESUME", "DEMOTE" -> {
                    admin(words);
                    answer("ROW " + (database.primary ? "primary" : "replica") + " " + database.logTerm + " "
                            + database.position() + " "
                            + database.heldTerm + " 0 0 1\r\nDONE -\r\n");
                }
                default -> run(id, statement, words);
            }
        }

        private void admin(String[] words) {
            synchronized (Store.this) {
                if (words[0].equals("PAUSE") && !database.primary && Long.parseLong(words[1]) > term) {
                    database.heldTerm = Long.parseLong(words[1]);
                } else if (words[0].equals("RESUME")) {
                    database.heldTerm = 0;
                } else if (words[0].equals("DEMOTE") && Long.parseLong(words[1]) > database.logTerm) {
                    database.primary = false;
                }
                if (!words[0].equals("STATUS")) {
                    record.add(database.id + " carries out " + String.join(" ", words) + ", position " + database.position());
                }
                replicate();
            }
        }

        private void run(String id, String statement, String[] words) throws Exception {
            boolean write = words[0].equals("WRITE")
                    || (words[0].equals("EXEC") && prepared.getOrDefault(words[1], "").startsWith("WRITE"));
            if (write && !database.primary) {
                answer("ERR READONLY " + database.id + "\r\n");
                return;
            }
            record.add(database.id + " gets " + id + " " + Wire.shorten(statement) + " from " + sender);
            runs.add(new Run(database.id, sender, id, record.elapsedMs()));
            List<String> rows = work.run(id, statement);
            if (write && state == 'T') {
                writes.add(id);
            } else if (write) {
                commit(database, id);
            } else if (words[0].equals("COMMIT")) {
                if (!database.primary && !writes.isEmpty()) {
                    state = 'E';
                    answer("ERR READONLY " + database.id + "\r\n");
                    return;
                }
                if (!writes.isEmpty()) {
                    commit(database, id);
                    record.add(database.id + " has committed " + id + " with " + writes);
                    writes.clear();
                }
                state = 'I';
            }
            boolean read = !write && !words[0].equals("COMMIT");
            StringBuilder text = new StringBuilder();
            if (read) {
                rows.forEach(row -> text.append("ROW ").append(row).append("\r\n"));
            }
            answer(text + "DONE " + database.id + "." + Integer.toHexString(id.hashCode()) + "\r\n");
            record.add(database.id + " has answered " + id);
        }

        private void answer(String text) throws IOException {
            Wire.write(out, text + "READY " + state + " " + database.position() + "\r\n");
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The peer has closed, or the run is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
