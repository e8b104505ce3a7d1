import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the programs of the deploy file as separate processes, with the settings that the
 * template names. Each machine has an address of its own in a subnet of 127.0.0.0/8.
 */
final class Deployment implements AutoCloseable {
    static final int CONTROL_PORT = 8782;
    static final int FRONT_PORT = 8784;
    static final int READY_PORT = 8785;
    static final int PLATFORM_PORT = 8783;
    static final int PEER_PORT = 7440;
    static final double GRACE_S = 6;
    private static final int SUBNETS = 200;
    private static final int CONNECT_TIMEOUT_MS = 300;

    final Path folder;
    final String prefix;
    final List<Node> nodes = new ArrayList<>();
    private final Record record;
    private final Map<String, String> runLines;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-3-");
        this.prefix = freePrefix();
        this.runLines = readRunLines();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** A machine that runs one role. */
    final class Node {
        final String name;
        final String role;
        final String host;
        boolean firstStart = true;
        List<String> seedHosts;
        Process process;

        Node(String name, String role, String host, List<String> seedHosts) {
            this.name = name;
            this.role = role;
            this.host = host;
            this.seedHosts = seedHosts;
        }

        void start() {
            try {
                writeSettings();
                ProcessBuilder builder = new ProcessBuilder(runLines.get(role).split(" "))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(
                                folder.resolve(name + ".log").toFile()));
                builder.environment().put("HORNBEAMSPREAD_BOOT", settingsFile().toString());
                process = builder.start();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            record.add(name + " starts, pid " + process.pid() + ", bootstrap " + firstStart);
        }

        /** Sends a signal to this process alone. */
        void signal(String signal) throws Exception {
            record.add("SIG" + signal + " to " + name);
            new ProcessBuilder("bash", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
        }

        boolean isListening() {
            return accepts(host, role.equals("proxy") ? FRONT_PORT : CONTROL_PORT);
        }

        String log() throws IOException {
            Path log = folder.resolve(name + ".log");
            return Files.exists(log) ? Files.readString(log) : "";
        }

        private Path settingsFile() {
            return folder.resolve(name + ".settings");
        }

        private void writeSettings() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("node-id", name);
            values.put("host", host);
            values.put("failure-domain", "zone-a");
            values.put("regions", "zone-a:region-a");
            values.put("first-peer-port", String.valueOf(PEER_PORT));
            values.put("control-seeds", seedHosts.stream()
                    .map(seed -> seed + ":" + CONTROL_PORT)
                    .collect(Collectors.joining(",")));
            values.put("first-start", String.valueOf(firstStart));
            boolean proxy = role.equals("proxy");
            values.put("data-directory", proxy ? "" : folder.resolve(name + "-data").toString());
            values.put("client-endpoint", proxy ? host + ":" + FRONT_PORT : "");
            values.put("ready-endpoint", proxy ? host + ":" + READY_PORT : "");
            values.put("control-endpoint", proxy ? "" : host + ":" + CONTROL_PORT);
            values.put("promotion-endpoint", platformHost() + ":" + PLATFORM_PORT);
            values.put("metrics-endpoint", host + ":9464");
            values.put("tolerated-losses", "1");
            values.put("shutdown-grace-s", String.valueOf(GRACE_S));
            StringBuilder text = new StringBuilder();
            values.forEach((key, value) -> text.append(key).append('=').append(value).append('\n'));
            Files.writeString(settingsFile(), text);
        }
    }

    /** Adds control members, whose addresses are the seeds of every process. */
    List<Node> addControl(int count) {
        List<String> hosts =
                IntStream.range(0, count).mapToObj(i -> prefix + "2." + (10 + i)).toList();
        List<Node> added = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            added.add(add("core-" + (i + 1), "control", hosts.get(i), hosts));
        }
        return added;
    }

    Node add(String name, String role, String host, List<String> seedHosts) {
        Node node = new Node(name, role, host, seedHosts);
        nodes.add(node);
        return node;
    }

    String platformHost() {
        return prefix + "9.1";
    }

    static boolean accepts(String host, int port) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), CONNECT_TIMEOUT_MS);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Ends every process that this deployment started; also when the run itself is ended by a signal. */
    private void endProcesses() {
        for (Node node : List.copyOf(nodes)) {
            if (node.process != null && node.process.isAlive()) {
                node.process.destroyForcibly();
                try {
                    node.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    /** Ends every process that this deployment started, and removes its folder. */
    @Override
    public void close() throws IOException {
        endProcesses();
        if (System.getenv("KEEP") != null) {
            record.add("logs kept in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    private static String freePrefix() throws IOException {
        long pid = ProcessHandle.current().pid();
        for (int i = 0; i < SUBNETS; i++) {
            String candidate = "127." + (32 + (pid + i) % SUBNETS) + ".";
            try (ServerSocket probe = new ServerSocket(PLATFORM_PORT, 1, InetAddress.getByName(candidate + "9.1"))) {
                return candidate;
            } catch (IOException e) {
                // Another run uses this subnet.
            }
        }
        throw new IOException("no free subnet");
    }

    private static Map<String, String> readRunLines() throws IOException {
        Map<String, String> lines = new LinkedHashMap<>();
        Matcher matcher = Pattern.compile("\\[roles\\.(\\w+)]\\s+run = \"([^\"]+)\"")
                .matcher(Files.readString(Path.of("deploy/system.toml")));
        while (matcher.find()) {
            lines.put(matcher.group(1), matcher.group(2));
        }
        return lines;
    }
}
