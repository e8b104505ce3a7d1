import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The operator: sends a configuration to one member after the other until it is acknowledged, or refused for good. */
final class Operator {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);
    private static final long MAX_BACKOFF_MS = 1_000;

    private final Record record;
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(ANSWER_TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1)
            .build();

    Operator(Record record) {
        this.record = record;
    }

    /** Returns whether the configuration was acknowledged within the time. */
    boolean put(String body, List<String> hosts, long withinMs) throws InterruptedException {
        long endMs = record.elapsedMs() + withinMs;
        long backoffMs = 100;
        Map<String, String> previous = new HashMap<>();
        for (int i = 0; record.elapsedMs() < endMs; i++) {
            String host = hosts.get(i % hosts.size());
            String outcome = call("PUT", host, "/hornbeamspread/config/put", body);
            if (!outcome.equals(previous.put(host, outcome)) || i % 20 == 0) {
                record.add("config/put to " + host + ": " + outcome);
            }
            if (outcome.startsWith("200")) {
                return true;
            }
            if (outcome.startsWith("400")) {
                return false;
            }
            Thread.sleep(backoffMs);
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 3 / 2);
        }
        return false;
    }

    String get(String host) {
        return call("GET", host, "/hornbeamspread/config/get", null);
    }

    private String call(String kind, String host, String path, String body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + host + ":" + Deployment.CONTROL_PORT + path))
                .timeout(ANSWER_TIMEOUT)
                .header("Content-Type", "application/json");
        request = body == null ? request.GET() : request.POST(HttpRequest.BodyPublishers.ofString(body));
        try {
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return response.statusCode() + " " + response.body();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return "interrupted";
        } catch (Exception e) {
            return "no answer (" + e.getClass().getSimpleName() + ")";
        }
    }

    /** A configuration with one service and a route of each kind. */
    static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-a", "books", "primary", 0, 1_000, "")
                + ","
                + route("r-b", "peeks", "bounded_staleness", 1, 3_000, ",\"max_staleness_ms\":1500")
                + ","
                + route("r-c", "ledger", "read_your_writes", 2, 1_000, ",\"max_staleness_ms\":2500")
                + "],\"backends\":[{\"name\":\"store\",\"health_check_path\":\"/health\",\"max_connections\":34,"
                + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tx_idle_ms\":3000}}";
    }

    private static String route(String name, String database, String kind, int priority, int timeoutMs, String more) {
        return "{\"name\":\"" + name + "\",\"database\":\"" + database + "\",\"path_prefix\":\"/\",\"route_type\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":2000,\"priority\":" + priority
                + ",\"backend\":\"store\",\"max_attempts\":2" + more + "}";
    }
}
