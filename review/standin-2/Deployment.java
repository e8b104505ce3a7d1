package review.standin2;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment: the project's control and proxy programs as child processes, started with the commands of the deploy file, and
 * the platform's promotion API and operator. Addresses are of a loopback subnet that depends on the process id.
 */
final class Deployment implements AutoCloseable {
    private static final int CONTROL_PORT = 8782;
    private static final int FRONT_PORT = 8784;
    private static final int READY_PORT = 8785;
    private static final int PROMOTION_PORT = 8783;
    private static final int DATABASE_PORT = 8080;

    final Record record;
    final Group group;
    final List<Process> members = new ArrayList<>();
    final List<Process> proxies = new ArrayList<>();
    private final String subnet = "127." + (20 + ProcessHandle.current().pid() % 200) + ".";
    private final Path directory;
    private final HttpServer promotionServer;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();
    volatile Runnable onPromotionRequested = () -> {};

    Deployment(Record record, int memberCount, int proxyCount) throws IOException {
        this.record = record;
        this.group = new Group("s1", record);
        directory = Files.createTempDirectory("review");
        promotionServer = HttpServer.create(new InetSocketAddress(subnet + "1.1", PROMOTION_PORT), 0);
        promotionServer.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "promotion");
            thread.setDaemon(true);
            return thread;
        }));
        promotionServer.createContext("/promote", exchange -> {
            String body = new String(exchange.getRequestBody().readAllBytes());
            Matcher target = Pattern.compile("\"id\":\"([^\"]*)\"").matcher(body);
            long token =
                    Long.parseLong(exchange.getRequestHeaders().getFirst("X-Hornbeamspread-Fencing-Token"));
            int status = target.find() ? group.promote(target.group(1), token) : 400;
            record.line("POST /promote " + body + " token " + token + ": " + status);
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
            onPromotionRequested.run();
        });
        promotionServer.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            members.forEach(Process::destroyForcibly);
            proxies.forEach(Process::destroyForcibly);
        }));
        String seeds = "";
        for (int i = 0; i < memberCount; i++) {
            seeds += (i == 0 ? "" : ",") + controlNode(i);
        }
        for (int i = 0; i < memberCount; i++) {
            Map<String, String> settings = settings("core-" + i, subnet + "2." + (i + 1), seeds);
            settings.put("data-directory", Files.createDirectories(directory.resolve("data" + i)).toString());
            settings.put("control-endpoint", controlNode(i));
            settings.put("promotion-endpoint", subnet + "1.1:" + PROMOTION_PORT);
            members.add(launch("control", "core-" + i, settings));
        }
        for (int i = 0; i < proxyCount; i++) {
            Map<String, String> settings = settings("front-" + i, subnet + "3." + (i + 1), seeds);
            settings.put("client-endpoint", subnet + "3." + (i + 1) + ":" + FRONT_PORT);
            settings.put("ready-endpoint", subnet + "3." + (i + 1) + ":" + READY_PORT);
            proxies.add(launch("proxy", "front-" + i, settings));
        }
    }

    String controlNode(int member) {
        return subnet + "2." + (member + 1) + ":" + CONTROL_PORT;
    }

    List<String> controlNodes() {
        List<String> nodes = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            nodes.add(controlNode(i));
        }
        return nodes;
    }

    InetSocketAddress front(int proxy) {
        return new InetSocketAddress(subnet + "3." + (proxy + 1), FRONT_PORT);
    }

    InetSocketAddress databaseAddress(int number) {
        return new InetSocketAddress(subnet + "4." + number, DATABASE_PORT);
    }

    /** Puts the first configuration until it is accepted, and waits until each proxy serves a session. */
    void awaitReady() throws IOException, InterruptedException {
        String body = "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"database\":\"book\",\"path_prefix\":\"/\",\"route_type\":"
                + "\"primary\",\"timeout_ms\":800,\"target_latency_ms\":400,\"priority\":0,\"backend\":\"s1\","
                + "\"max_attempts\":2}],\"backends\":[{\"name\":\"s1\",\"health_check_path\":\"/health\",\"max_connections\":200,"
                + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000}}";
        long endMs = System.currentTimeMillis() + 20_000;
        int status = 0;
        for (int i = 0; status != 200 && System.currentTimeMillis() < endMs; i++) {
            status = call("POST", controlNode(i % members.size()), "/hornbeamspread/config/put", body);
            Thread.sleep(100);
        }
        record.line("configuration: " + status);
        for (int i = 0; i < proxies.size(); i++) {
            while (call("GET", subnet + "3." + (i + 1) + ":" + READY_PORT, "/hornbeamspread/ready", "") != 200) {
                if (System.currentTimeMillis() > endMs) {
                    throw new IOException("the proxies are not ready");
                }
                Thread.sleep(100);
            }
        }
    }

    /** Sends one heartbeat that names the address of a database as that of another one, of another service. */
    void sendHeartbeat(String id, String service, Database named) throws InterruptedException {
        String body = String.format(
                "{\"backend\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
                        + "\"cold_remaining_ms\":0,\"db_role\":\"replica\",\"seq\":1,\"born\":%d}",
                service,
                named.address.getHostString(),
                named.address.getPort(),
                named.zone,
                System.currentTimeMillis());
        int status = 0;
        for (int i = 0; i < members.size() && status != 200; i++) {
            status = call("POST", controlNode(i), "/hornbeamspread/instances/" + id + "/heartbeat", body);
        }
        record.line("heartbeat of another writer " + body + ": " + status);
    }

    /** The number of the member that leads, by its event log; -1 for none. */
    int leader() throws IOException {
        int leader = -1;
        long latestMs = 0;
        for (int i = 0; i < members.size(); i++) {
            for (String line : Files.readAllLines(directory.resolve("core-" + i + ".log"))) {
                Matcher time = Pattern.compile("\"time_ms\":(\\d+)").matcher(line);
                if (line.contains("\"control_leadership\"") && line.contains("\"self\":true") && time.find()) {
                    long timeMs = Long.parseLong(time.group(1));
                    if (timeMs > latestMs) {
                        latestMs = timeMs;
                        leader = i;
                    }
                }
            }
        }
        return leader;
    }

    static void signal(Process process, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    private int call(String method, String node, String path, String body) throws InterruptedException {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node + path))
                    .timeout(Duration.ofSeconds(1))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    private static Map<String, String> settings(String name, String host, String seeds) {
        Map<String, String> settings = new TreeMap<>();
        settings.put("node-id", name);
        settings.put("host", host);
        settings.put("failure-domain", "gnr-a");
        settings.put("regions", "gnr-a:gujarat,gnr-b:gujarat,bom-a:mumbai");
        settings.put("first-peer-port", "7440");
        settings.put("control-seeds", seeds);
        settings.put("first-start", "true");
        settings.put("metrics-endpoint", host + ":9464");
        settings.put("tolerated-losses", "1");
        settings.put("shutdown-grace-s", "6");
        return settings;
    }

    private Process launch(String role, String name, Map<String, String> settings) throws IOException {
        Path file = directory.resolve(name + ".settings");
        List<String> lines = new ArrayList<>();
        settings.forEach((key, value) -> lines.add(key + "=" + value));
        Files.write(file, lines);
        ProcessBuilder builder = new ProcessBuilder(command(role))
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("HORNBEAMSPREAD_BOOT", file.toString());
        Process process = builder.start();
        record.line("launched " + name + " " + process.pid());
        return process;
    }

    /** The command of a role in the deploy file. The current folder is the repository's root. */
    private static List<String> command(String role) throws IOException {
        String text = Files.readString(Path.of("deploy", "system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"").matcher(text);
        if (!run.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    /** Ends all processes and keeps the last lines of the event logs of control that tell of promotions. */
    @Override
    public void close() throws IOException {
        List<Process> all = new ArrayList<>(members);
        all.addAll(proxies);
        for (Process process : all) {
            try {
                signal(process, "CONT");
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        promotionServer.stop(0);
        for (int i = 0; i < members.size(); i++) {
            for (String line : Files.readAllLines(directory.resolve("core-" + i + ".log"))) {
                if (line.contains("promotion_") || line.contains("instance_") || line.contains("leadership")
                        || line.contains("\"command\":\"resume\"")) {
                    record.line("log of core-" + i + ": " + line);
                }
            }
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
