package review.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;

/** The stand-in databases of one service: a primary and replicas that speak the wire of PROTOCOL.md. */
final class Databases {
    static final long PROMOTE_MS = 600;
    private static final long REPLICA_DELAY_MS = 2;
    private static final long WORK_MS = 3;

    final String service;
    final Record record;
    final List<Database> all = new ArrayList<>();

    /** The addresses at which databases report; set before the databases start. */
    List<String> controls = List.of();

    /** Ids of the committed writes that a client has seen acknowledged. */
    final Set<String> acknowledgedToClients = ConcurrentHashMap.newKeySet();

    /** Ids of statements that ran, with the text in which they arrived. */
    final Map<String, String> ran = new ConcurrentHashMap<>();

    /** The session values and the prepared shape with which each statement ran. */
    final Map<String, String> valuesAtRun = new ConcurrentHashMap<>();

    final Map<String, String> shapeAtRun = new ConcurrentHashMap<>();

    /** Set when a promoted database lacks a commit that a client has seen acknowledged. */
    final Set<String> lostOnPromotion = ConcurrentHashMap.newKeySet();

    /** Decides whether the answer to a statement that ran is lost; the connection stays open. */
    volatile BiPredicate<Database, String> losesAnswer = (database, text) -> false;

    /** Decides whether a database answers a statement with FAILED instead of running it. */
    volatile BiPredicate<Database, String> fails = (database, text) -> false;

    private long newestTerm = 1;
    private long highestToken;

    /** While true, the platform neither answers nor carries out orders to promote. */
    volatile boolean platformDown;

    /** Number of promotions that took effect. */
    volatile int promotions;

    Databases(String service, Record record) {
        this.service = service;
        this.record = record;
    }

    Database add(String id, String host, int port) throws IOException {
        Database database = new Database(id, host, port);
        all.add(database);
        return database;
    }

    synchronized Database primary() {
        return all.stream().filter(one -> one.up && one.primary).findFirst().orElse(null);
    }

    /** Handles POST /promote. Returns the HTTP status, or 0 if there is no answer. */
    int promote(String id, String holder, long token) {
        if (platformDown) {
            record.write("platform", "down: promote " + id + " token " + token + " gets no answer");
            return 0;
        }
        return promoteNow(id, holder, token);
    }

    private synchronized int promoteNow(String id, String holder, long token) {
        record.write("platform", "promote " + id + " holder " + holder + " token " + token);
        if (token < highestToken) {
            return 409;
        }
        highestToken = token;
        Database chosen = all.stream().filter(one -> one.id.equals(id) && one.up).findFirst().orElse(null);
        if (chosen == null) {
            return 409;
        }
        if (chosen.primary) {
            return 200;
        }
        Thread thread = new Thread(() -> {
            Record.sleep(PROMOTE_MS);
            lead(chosen);
        });
        thread.setDaemon(true);
        thread.start();
        return 200;
    }

    private synchronized void lead(Database chosen) {
        if (!chosen.up || chosen.primary) {
            return;
        }
        newestTerm++;
        promotions++;
        for (Database one : all) {
            one.primary = false;
            one.heldTerm = 0;
        }
        chosen.primary = true;
        chosen.term = newestTerm;
        for (Database one : all) {
            if (one != chosen && one.up) {
                one.follow(chosen);
            }
        }
        Set<String> held = new TreeSet<>();
        chosen.log.forEach(entry -> held.addAll(entry.writeIds));
        for (String id : acknowledgedToClients) {
            if (!held.contains(id)) {
                lostOnPromotion.add(id);
            }
        }
        record.write("databases", chosen.id + " leads term " + newestTerm + " with " + chosen.position() + "; acknowledged "
                + acknowledgedToClients.size() + " lacking " + lostOnPromotion);
        notifyAll();
        all.forEach(one -> one.reportNow = true);
    }

    private synchronized void replicate() {
        Database leader = primary();
        if (leader == null) {
            return;
        }
        for (Database one : all) {
            if (one != leader && one.up && !one.deaf && one.heldTerm == 0) {
                one.follow(leader);
            }
        }
        notifyAll();
    }

    void start() {
        Thread thread = new Thread(() -> {
            while (true) {
                Record.sleep(REPLICA_DELAY_MS);
                replicate();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A committed transaction. */
    static final class Entry {
        final long term;
        final List<String> writeIds;
        final Map<String, String> data;

        Entry(long term, List<String> writeIds, Map<String, String> data) {
            this.term = term;
            this.writeIds = List.copyOf(writeIds);
            this.data = Map.copyOf(data);
        }
    }

    /** One database. Its state is guarded by the lock of the service. */
    final class Database {
        /** Changes when the process starts again: only a database without its log would keep its id. */
        volatile String id;

        private int starts;
        private long firstReportDelayMs;

        /** How much of a missing log is received at each step of replication. */
        private int catchUpEntriesPerStep = Integer.MAX_VALUE;
        final String host;
        final int port;
        long born = System.currentTimeMillis();
        boolean up;
        boolean primary;
        boolean leaving;
        boolean deaf;
        boolean draining;
        volatile boolean reportNow;

        /** Whether the answers of control to this database are lost on their way. */
        volatile boolean answersFromControlLost;

        long term = 1;
        long heldTerm;
        final List<Entry> log = new ArrayList<>();
        private final Map<String, String> items = new HashMap<>();
        private ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private long seq;
        volatile String heartbeatTarget = "";

        Database(String id, String host, int port) {
            this.id = id;
            this.host = host;
            this.port = port;
        }

        void start() throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port));
            synchronized (Databases.this) {
                up = true;
            }
            ServerSocket current = listener;
            daemon(() -> {
                while (!current.isClosed()) {
                    try {
                        Socket socket = current.accept();
                        socket.setTcpNoDelay(true);
                        sockets.add(socket);
                        daemon(() -> new Connection(this, socket).serve());
                    } catch (IOException e) {
                        return;
                    }
                }
            });
            daemon(this::reportAtIntervals);
        }

        /** Exits after a planned shutdown. */
        void exit() throws IOException {
            crash();
        }

        /** Ends the process of this database: its connections break and its address refuses. */
        void crash() throws IOException {
            synchronized (Databases.this) {
                up = false;
                Databases.this.notifyAll();
            }
            record.write(id, "process ended with log to " + position());
            listener.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                } catch (SocketException e) {
                    // Already closed by its own thread.
                }
                socket.close();
            }
        }

        /** Starts again with its log; {@link #lead} has made it a replica if another database was promoted meanwhile. */
        void restart() throws IOException {
            synchronized (Databases.this) {
                starts++;
                id = id.split("r")[0] + "r" + starts;
                born = System.currentTimeMillis();
                seq = 0;
                heldTerm = 0;
            }
            start();
            record.write(id, "process started again with log to " + position());
        }

        /** Starts again under its id and holds nothing of before. The first heartbeat comes after a delay. */
        void restartEmpty(long firstReportMs, int entriesPerStep) throws IOException {
            synchronized (Databases.this) {
                log.clear();
                primary = false;
                born = System.currentTimeMillis();
                seq = 0;
                heldTerm = 0;
                firstReportDelayMs = firstReportMs;
                catchUpEntriesPerStep = entriesPerStep;
            }
            start();
            record.write(id, "process started again without its log");
        }

        private void follow(Database leader) {
            int common = 0;
            while (common < log.size() && common < leader.log.size() && log.get(common) == leader.log.get(common)) {
                common++;
            }
            while (log.size() > common) {
                log.remove(log.size() - 1);
            }
            for (int i = 0; i < catchUpEntriesPerStep && log.size() < leader.log.size(); i++) {
                log.add(leader.log.get(log.size()));
            }
            if (log.size() == leader.log.size()) {
                catchUpEntriesPerStep = Integer.MAX_VALUE;
            }
            term = leader.term;
        }

        String position() {
            return log.isEmpty() ? "1.0" : log.get(log.size() - 1).term + "." + log.size();
        }

        boolean holds(String position) {
            String[] parts = position.split("\\.");
            long wantedTerm = Long.parseLong(parts[0]);
            long wantedNumber = Long.parseLong(parts[1]);
            long ownTerm = log.isEmpty() ? 1 : log.get(log.size() - 1).term;
            return ownTerm > wantedTerm || (ownTerm == wantedTerm && log.size() >= wantedNumber);
        }

        String read(String item) {
            for (int i = log.size() - 1; i >= 0; i--) {
                String found = log.get(i).data.get(item);
                if (found != null) {
                    return found;
                }
            }
            return "initial-" + item;
        }

        private void reportAtIntervals() {
            long nextMs = System.currentTimeMillis() + firstReportDelayMs;
            boolean alive = true;
            while (alive) {
                if (System.currentTimeMillis() >= nextMs || reportNow) {
                    reportNow = false;
                    nextMs = System.currentTimeMillis() + 1_000;
                    heartbeat();
                }
                Record.sleep(20);
                synchronized (Databases.this) {
                    alive = up && !leaving;
                }
            }
        }

        private boolean heartbeat() {
            String body;
            synchronized (Databases.this) {
                body = "{\"backend\":\"" + service + "\",\"address\":\"" + host + ":" + port + "\",\"zone\":\"zone-a\","
                        + "\"version\":\"v1\",\"slots\":4,\"state\":\"" + (draining ? "draining" : "ready")
                        + "\",\"cold_remaining_ms\":0,\"db_role\":\"" + (primary ? "primary" : "replica") + "\",\"seq\":"
                        + (++seq) + ",\"born\":" + born + "}";
            }
            return call("heartbeat", body);
        }

        /** Reports once; true when some control acknowledged. */
        boolean call(String what, String body) {
            for (String control : controls) {
                int status = Http.post("http://" + control + "/hornbeamspread/instances/" + id + "/" + what, body, 1_000);
                if (status / 100 == 2 && !answersFromControlLost) {
                    return true;
                }
                if (status / 100 == 2) {
                    record.write(id, what + " reached control " + control + "; the answer is lost");
                    Record.sleep(900);
                }
            }
            return false;
        }

        /** Reports draining; true when control acknowledged. */
        boolean drain() {
            synchronized (Databases.this) {
                draining = true;
            }
            boolean acknowledged = heartbeat();
            record.write(id, "reports draining; acknowledged: " + acknowledged);
            return acknowledged;
        }

        /** Deregisters at one control after the other; true when one acknowledged. */
        boolean deregister() {
            record.write(id, "deregisters");
            String body;
            synchronized (Databases.this) {
                leaving = true;
                body = "{\"backend\":\"" + service + "\",\"address\":\"" + host + ":" + port + "\",\"seq\":" + (++seq)
                        + ",\"born\":" + born + "}";
            }
            return call("deregister", body);
        }
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    /** One connection to a database. */
    private final class Connection {
        private final Database database;
        private final Socket socket;
        private OutputStream out;
        private final Map<String, String> values = new TreeMap<>();
        private final Map<String, String> prepared = new HashMap<>();
        private char state = 'I';
        private boolean readOnly;
        private final List<String> writeIds = new ArrayList<>();
        private final Map<String, String> uncommitted = new HashMap<>();

        Connection(Database database, Socket socket) {
            this.database = database;
            this.socket = socket;
        }

        void serve() {
            try (socket) {
                Lines lines = new Lines(socket.getInputStream());
                out = socket.getOutputStream();
                String start = lines.next();
                if (start == null) {
                    return;
                }
                String[] words = start.split(" ");
                boolean right = words.length >= 3 && words[0].equals("START") && words[1].equals(service)
                        && (words.length < 4 || words[3].equals(database.id));
                if (!right) {
                    send("ERR MISROUTED " + database.id + "\r\n");
                    return;
                }
                send("READY I " + locked(database::position) + "\r\n");
                for (String line = lines.next(); line != null; line = lines.next()) {
                    if (line.equals("BYE")) {
                        return;
                    }
                    String[] parts = line.split(" ", 3);
                    if (!parts[0].equals("QUERY") || parts.length < 3) {
                        return;
                    }
                    answer(parts[1], parts[2]);
                }
            } catch (IOException e) {
                // The connection broke: an open transaction is rolled back.
            } finally {
                database.sockets.remove(socket);
            }
        }

        private String locked(java.util.function.Supplier<String> read) {
            synchronized (Databases.this) {
                return read.get();
            }
        }

        private void answer(String id, String text) throws IOException {
            if (fails.test(database, text)) {
                record.write(database.id, "fails " + id + " " + text);
                if (state == 'T') {
                    state = 'E';
                }
                reply("ERR FAILED " + database.id);
                return;
            }
            String body = run(id, text);
            if (losesAnswer.test(database, text)) {
                record.write(database.id, "ran " + id + " " + text + "; its answer is lost");
                return;
            }
            reply(body);
        }

        private void reply(String body) throws IOException {
            send(body + "\r\nREADY " + state + " " + locked(database::position) + "\r\n");
        }

        private void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private String run(String id, String fullText) throws IOException {
            String text = fullText;
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                synchronized (Databases.this) {
                    if (!database.holds(parts[1])) {
                        return "ERR LAGGING " + database.id;
                    }
                }
                text = parts[2];
            }
            String[] words = text.split(" ", 3);
            if (state == 'E' && !words[0].equals("ROLLBACK")) {
                return "ERR MALFORMED " + database.id;
            }
            switch (words[0]) {
                case "BEGIN":
                    synchronized (Databases.this) {
                        if (words.length == 1 && !database.primary) {
                            return "ERR READONLY " + database.id;
                        }
                        state = 'T';
                        readOnly = words.length > 1;
                        return "DONE -";
                    }
                case "ROLLBACK":
                    end();
                    return "DONE -";
                case "SET":
                    values.put(words[1], words[2]);
                    return "DONE -";
                case "PREPARE":
                    prepared.put(words[1], words[2]);
                    return "DONE -";
                case "DEALLOC":
                    prepared.remove(words[1]);
                    return "DONE -";
                case "RESET":
                    values.clear();
                    prepared.clear();
                    return "DONE -";
                case "STATUS":
                case "PAUSE":
                case "RESUME":
                case "DEMOTE":
                    return administer(words);
                default:
                    return statement(id, text, words);
            }
        }

        private String administer(String[] words) {
            synchronized (Databases.this) {
                long named = words.length > 1 ? Long.parseLong(words[1]) : 0;
                if (words[0].equals("PAUSE") && !database.primary && named > newestTermSeen()) {
                    database.heldTerm = named;
                } else if (words[0].equals("RESUME")) {
                    database.heldTerm = 0;
                } else if (words[0].equals("DEMOTE") && database.primary && database.term < named) {
                    database.primary = false;
                    database.reportNow = true;
                }
                return "ROW " + (database.primary ? "primary " : "replica ") + database.term + " " + database.position()
                        + " " + database.heldTerm + " 2 0 " + database.sockets.size() + "\r\nDONE -";
            }
        }

        private long newestTermSeen() {
            return database.term;
        }

        private void end() {
            state = 'I';
            readOnly = false;
            writeIds.clear();
            uncommitted.clear();
        }

        private String statement(String id, String text, String[] words) throws IOException {
            String definition = words[0].equals("EXEC") ? prepared.get(words[1]) : null;
            if (words[0].equals("EXEC") && definition == null) {
                return "ERR NOSTMT " + database.id;
            }
            boolean write = words[0].equals("WRITE") || (definition != null && definition.startsWith("WRITE"));
            boolean commit = words[0].equals("COMMIT");
            Record.sleep(WORK_MS);
            Entry entry;
            synchronized (Databases.this) {
                boolean needsLead = write || (state == 'T' && !readOnly && !(commit && writeIds.isEmpty()));
                if (needsLead && !database.primary) {
                    if (state == 'T') {
                        state = 'E';
                    }
                    return "ERR READONLY " + database.id;
                }
                ran.put(id, text);
                valuesAtRun.put(id, values.toString());
                if (definition != null) {
                    shapeAtRun.put(id, definition);
                }
                record.write(database.id, "runs " + id + " " + text + " values " + values
                        + (definition == null ? "" : " shape " + definition));
                if (!write && !commit) {
                    String item = definition == null ? words[1] : words[2];
                    return "ROW " + uncommitted.getOrDefault(item, database.read(item)) + "\r\nDONE " + database.id + "." + id;
                }
                if (write) {
                    String[] arguments = definition == null ? new String[] {words[1], words[2]} : words[2].split(" ", 2);
                    if (state == 'T') {
                        writeIds.add(id);
                        uncommitted.put(arguments[0], arguments[1]);
                        return "DONE " + database.id + "." + id;
                    }
                    entry = new Entry(database.term, List.of(id), Map.of(arguments[0], arguments[1]));
                } else {
                    entry = new Entry(database.term, writeIds, uncommitted);
                    end();
                    if (entry.writeIds.isEmpty()) {
                        return "DONE " + database.id + "." + id;
                    }
                }
                database.log.add(entry);
                while (database.up && !receivedByReplica(entry)) {
                    try {
                        Databases.this.wait(50);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                }
                if (!database.up) {
                    throw new IOException("crashed");
                }
            }
            return "DONE " + database.id + "." + id;
        }

        private boolean receivedByReplica(Entry entry) {
            return all.stream().anyMatch(one -> one != database && one.up && one.log.contains(entry));
        }
    }

    /** Reads lines that end with CR LF; any other byte belongs to the line. */
    static final class Lines {
        private final InputStream in;

        Lines(InputStream in) {
            this.in = new BufferedInputStream(in);
        }

        String next() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            int previous = -1;
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n' && previous == '\r') {
                    byte[] bytes = line.toByteArray();
                    return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
                }
                line.write(next);
                previous = next;
            }
            return null;
        }
    }

    /** Short HTTP calls. */
    static final class Http {
        private Http() {}

        /** Returns the status, or 0 without an answer. */
        static int post(String url, String body, int timeoutMs) {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL(url).openConnection();
                call.setConnectTimeout(timeoutMs);
                call.setReadTimeout(timeoutMs);
                call.setInstanceFollowRedirects(true);
                call.setRequestMethod("POST");
                call.setRequestProperty("Content-Type", "application/json");
                call.setDoOutput(true);
                call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
                int status = call.getResponseCode();
                (status < 400 ? call.getInputStream() : call.getErrorStream()).close();
                return status;
            } catch (IOException | RuntimeException e) {
                return 0;
            }
        }

        /** Returns the body of a 200 response; empty without one. */
        static String read(String url, int timeoutMs) {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL(url).openConnection();
                call.setConnectTimeout(timeoutMs);
                call.setReadTimeout(timeoutMs);
                return call.getResponseCode() == 200
                        ? new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                        : "";
            } catch (IOException e) {
                return "";
            }
        }

        static int get(String url, int timeoutMs) {
            try {
                HttpURLConnection call = (HttpURLConnection) new URL(url).openConnection();
                call.setConnectTimeout(timeoutMs);
                call.setReadTimeout(timeoutMs);
                int status = call.getResponseCode();
                call.disconnect();
                return status;
            } catch (IOException e) {
                return 0;
            }
        }
    }
}
