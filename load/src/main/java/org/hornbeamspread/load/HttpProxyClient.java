package org.hornbeamspread.load;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.AddressTranslator;

/** Sends requests to proxies over HTTP. */
final class HttpProxyClient implements ProxyClient {
    private final RpcClient rpcClient = new RpcClient();
    private final Map<String, Endpoint> endpoints;

    HttpProxyClient(Map<String, Endpoint> endpoints) {
        this.endpoints = new LinkedHashMap<>(endpoints);
    }

    /** Parses {@code p1=host:port,p2=host:port}. Fails with INVALID_SETTING. */
    static HttpProxyClient parse(String list) {
        Map<String, Endpoint> endpoints = new LinkedHashMap<>();
        for (String entry : list.split(",", -1)) {
            int equals = entry.indexOf('=');
            if (equals <= 0) {
                throw new FailureException(
                        FailureType.INVALID_SETTING, "--proxies expects id=host:port,id=host:port, not " + list);
            }
            endpoints.put(entry.substring(0, equals).strip(), AddressTranslator.parse(entry.substring(equals + 1)));
        }
        if (endpoints.size() < 2) {
            throw new FailureException(
                    FailureType.INVALID_SETTING,
                    "--proxies needs at least two proxies: session reads and retries go to another proxy");
        }
        return new HttpProxyClient(endpoints);
    }

    @Override
    public List<String> proxies() {
        return List.copyOf(endpoints.keySet());
    }

    @Override
    public CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout) {
        return rpcClient.call(
                endpoints.get(proxy),
                "hornbeamspread.Statements/Execute",
                request,
                ExecuteResponse.getDefaultInstance(),
                timeout);
    }
}
