package org.hornbeamspread.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** Sends requests to the proxies, as a caller does. */
interface ProxyClient {
    /** The names of the proxies. */
    List<String> proxies();

    /** Sends a request to one proxy. Fails with a {@code FailureException} when the method gave no response. */
    CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout);
}
