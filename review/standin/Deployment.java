package review.standin;

import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: three control processes, some proxies, the platform's promotion call. */
final class Deployment implements AutoCloseable {
    /** Databases of a service, as at the small sites. */
    private static final int DATABASES_PER_SERVICE = 3;

    private static final long RESTART_DELAY_MS = 500;

    /** Longer than the caller waits. */
    private static final long NO_ANSWER_MS = 20_000;

    private static final String[] SERVICES = {"ledger-1", "ledger-2", "ledger-3"};

    final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int controlPort = freePort();
    private final int databasePort = freePort();
    private final int platformPort = freePort();
    private final int peerPort = freePort();

    final Record record;

    /** The service that the routes name. */
    final Databases databases;

    private final List<Databases> services = new ArrayList<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();

    /** How often each process has ended. */
    final Map<String, Integer> ends = new ConcurrentHashMap<>();

    private volatile boolean closing;
    private final String prefix;
    private final Path folder;
    private final Path root = Path.of("").toAbsolutePath();
    private final HttpServer platform;

    /** Number of routes that the configuration has beside one of each kind. */
    int addedRoutes;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.prefix = "127." + (40 + ProcessHandle.current().pid() % 180) + "." + (1 + (System.nanoTime() >> 8 & 127)) + ".";
        this.folder = Files.createTempDirectory("hornbeamspread-review");
        platform = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host(1)), platformPort), 16);
        platform.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work);
            thread.setDaemon(true);
            return thread;
        }));
        platform.createContext("/promote", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Matcher service = Pattern.compile("\"backend\"\\s*:\\s*\"([^\"]+)\"").matcher(body);
            Matcher id = Pattern.compile("\"id\"\\s*:\\s*\"([^\"]+)\"").matcher(body);
            String token = exchange.getRequestHeaders().getFirst("X-Hornbeamspread-Fencing-Token");
            String holder = exchange.getRequestHeaders().getFirst("X-Hornbeamspread-Duty-Holder");
            int status = 409;
            if (service.find() && id.find()) {
                for (Databases one : services) {
                    if (one.service.equals(service.group(1))) {
                        status = one.promote(id.group(1), holder, Long.parseLong(token));
                    }
                }
            }
            if (status == 0) {
                // The caller closes the connection after its own time-out.
                Record.sleep(NO_ANSWER_MS);
            }
            exchange.sendResponseHeaders(status == 0 ? 503 : status, -1);
            exchange.close();
        });
        platform.start();
        List<String> controls = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            controls.add(host(10 + i) + ":" + controlPort);
        }
        for (String service : SERVICES) {
            Databases one = new Databases(service, record);
            one.controls = controls;
            for (int i = 0; i < DATABASES_PER_SERVICE; i++) {
                int number = services.size() * DATABASES_PER_SERVICE + i + 1;
                one.add("i-" + number, host(30 + number), databasePort);
            }
            one.all.get(0).primary = true;
            services.add(one);
        }
        databases = services.get(0);
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String host(int number) {
        return prefix + number;
    }

    void startDatabases() throws IOException {
        for (Databases one : services) {
            for (Databases.Database database : one.all) {
                database.start();
            }
            one.start();
        }
    }

    void startControl() throws IOException {
        for (int i = 1; i <= 3; i++) {
            start("core-" + i, "control", 10 + i, true);
        }
    }

    /** Kills all control processes at once; each starts again after the restart delay. */
    void killControl() {
        processes.forEach((name, process) -> {
            if (name.startsWith("core-")) {
                process.destroyForcibly();
            }
        });
    }

    void startProxy(int number) throws IOException {
        start("front-" + number, "proxy", 20 + number, true);
    }

    String front(int number) {
        return host(20 + number);
    }

    boolean isReady(int number) {
        return Databases.Http.get("http://" + front(number) + ":" + readyPort + "/hornbeamspread/ready", 1_000) == 200;
    }

    boolean awaitReady(int number, long limitMs) {
        long endMs = record.nowMs() + limitMs;
        while (record.nowMs() < endMs) {
            if (isReady(number)) {
                return true;
            }
            Record.sleep(100);
        }
        return false;
    }

    /** Starts a process with the command of the deploy file; the settings follow the project's template. */
    private void start(String name, String role, int number, boolean first) throws IOException {
        Process started = launch(name, role, number, first);
        // The platform starts a process that ends by itself again, after a short delay.
        started.onExit().thenAccept(ended -> {
            if (!closing) {
                record.write(name, "process ended with status " + ended.exitValue());
                ends.merge(name, 1, Integer::sum);
                Record.sleep(RESTART_DELAY_MS);
                try {
                    if (!closing) {
                        start(name, role, number, false);
                    }
                } catch (IOException e) {
                    record.write(name, "did not start again: " + e);
                }
            }
        });
    }

    private Process launch(String name, String role, int number, boolean first) throws IOException {
        String section = Files.readString(root.resolve("deploy/system.toml")).split("\\[roles\\." + role + "\\]", 2)[1];
        Matcher run = Pattern.compile("run = \"([^\"]+)\"").matcher(section);
        if (!run.find()) {
            throw new IOException("no command for " + role);
        }
        Path data = Files.createDirectories(folder.resolve(name + "-data"));
        Path settings = folder.resolve(name + ".settings");
        Files.writeString(settings, settings(name, role, number, first, data));
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" +")).directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HORNBEAMSPREAD_BOOT", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process started = builder.start();
        processes.put(name, started);
        record.write(name, "process started");
        return started;
    }

    private String settings(String name, String role, int number, boolean first, Path data) throws IOException {
        String ip = host(number);
        boolean proxy = role.equals("proxy");
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "zone-a:region-a,zone-b:region-a,zone-c:region-b");
        fields.put("{{node_name}}", name);
        fields.put("{{ip}}", ip);
        fields.put("{{zone}}", "zone-a");
        fields.put("{{internal_ports.0}}", String.valueOf(peerPort));
        fields.put("{{seeds}}", String.join(",", databases.controls));
        fields.put("{{bootstrap}}", String.valueOf(first));
        fields.put("{{data_dir}}", proxy ? "" : data.toString());
        fields.put("{{listen_addrs.front}}", proxy ? ip + ":" + frontPort : "");
        fields.put("{{listen_addrs.ready}}", proxy ? ip + ":" + readyPort : "");
        fields.put("{{listen_addrs.control}}", proxy ? "" : ip + ":" + controlPort);
        fields.put("{{cloud_api.address}}", proxy ? "" : host(1) + ":" + platformPort);
        fields.put("{{fault_tolerance.machines}}", "1");
        fields.put("{{bounds.grace_s}}", "6");
        // Bounds that the site doesn't name are empty.
        fields.put("{{bounds.strict_revoke}}", "");
        fields.put("{{bounds.revoke_ms}}", "");
        fields.put("{{bounds.quota_window_s}}", "");
        fields.put("{{bounds.quota_overshoot}}", "");
        fields.put("{{bounds.quota_slack}}", "");
        String text = Files.readString(root.resolve("deploy/settings.template"));
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text = text.replace(field.getKey(), field.getValue());
        }
        return text;
    }

    /** Puts a configuration with one route of each kind until it is acknowledged. */
    boolean putConfiguration(int version, long limitMs) {
        String service = databases.service;
        StringBuilder added = new StringBuilder();
        for (int i = 0; i < addedRoutes; i++) {
            added.append("{\"name\":\"r-a").append(i).append("\",\"database\":\"added").append(i)
                    .append("\",\"path_prefix\":\"/\",\"route_type\":\"bounded_staleness\",\"timeout_ms\":1200,")
                    .append("\"target_latency_ms\":500,\"priority\":1,\"backend\":\"").append(service)
                    .append("\",\"max_attempts\":2,\"max_staleness_ms\":1500},");
        }
        String body = "{\"version\":" + version + ",\"routes\":[" + added
                + "{\"name\":\"r-1\",\"database\":\"own\",\"path_prefix\":\"/\",\"route_type\":\"read_your_writes\","
                + "\"timeout_ms\":800,\"target_latency_ms\":1000,\"priority\":2,\"backend\":\"" + service
                + "\",\"max_attempts\":2,\"max_staleness_ms\":2500},"
                + "{\"name\":\"r-2\",\"database\":\"main\",\"path_prefix\":\"/\",\"route_type\":\"primary\","
                + "\"timeout_ms\":800,\"target_latency_ms\":250,\"priority\":0,\"backend\":\"" + service
                + "\",\"max_attempts\":2},"
                + "{\"name\":\"r-3\",\"database\":\"old\",\"path_prefix\":\"/\",\"route_type\":\"bounded_staleness\","
                + "\"timeout_ms\":1200,\"target_latency_ms\":500,\"priority\":1,\"backend\":\"" + service
                + "\",\"max_attempts\":2,\"max_staleness_ms\":1500}],\"backends\":[" + backends() + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}";
        long endMs = record.nowMs() + limitMs;
        while (record.nowMs() < endMs) {
            for (String control : databases.controls) {
                if (Databases.Http.post("http://" + control + "/hornbeamspread/config/put", body, 1_000) == 200) {
                    record.write("operator", "configuration " + version + " acknowledged, " + body.length() + " bytes");
                    return true;
                }
            }
            Record.sleep(200);
        }
        return false;
    }

    /** The version that some control process answers; empty without an answer. */
    Optional<Integer> readConfiguration() {
        for (String control : databases.controls) {
            String body = Databases.Http.read("http://" + control + "/hornbeamspread/config/get", 1_000);
            Matcher version = Pattern.compile("\"version\"\\s*:\\s*(\\d+)").matcher(body);
            if (version.find()) {
                record.write("operator", "reads configuration " + version.group(1) + " at " + control);
                return Optional.of(Integer.parseInt(version.group(1)));
            }
        }
        return Optional.empty();
    }

    private static String backends() {
        List<String> entries = new ArrayList<>();
        for (String service : SERVICES) {
            entries.add("{\"name\":\"" + service + "\",\"health_check_path\":\"/health\",\"max_connections\":28,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}");
        }
        return String.join(",", entries);
    }

    /** Ends all processes at once. */
    void kill() {
        closing = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        closing = true;
        platform.stop(0);
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
