package org.hornbeamspread.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;

/** The proxies, as a caller reaches them. */
interface ProxyClient {
    /** The names of the proxies. */
    List<String> proxies();

    /** Sends a request to one proxy. Fails with a typed failure when no answer of the method came. */
    CompletableFuture<ExecuteResponse> execute(String proxy, ExecuteRequest request, Duration timeout);
}
