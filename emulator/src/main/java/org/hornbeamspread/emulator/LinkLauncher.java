package org.hornbeamspread.emulator;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcMethod;
import org.hornbeamspread.http.RpcServer;
import org.hornbeamspread.protocol.schema.GetLinkBytesRequest;
import org.hornbeamspread.protocol.schema.SetCutRequest;
import org.hornbeamspread.transport.AddressTranslator;

/** Starts the emulated links from the command-line flags. */
final class LinkLauncher {
    private LinkLauncher() {}

    /** Reads the link file, listens on every route, and serves the RPC methods that control the links. */
    static RpcServer start(EmulatorOptions options) {
        LinkServer server = new LinkServer(LinkFileParser.parse(readLines(Path.of(options.linkFile))));
        return new RpcServer(
                AddressTranslator.parse(options.httpEndpoint),
                List.of(
                        RpcMethod.of("hornbeamspread.Links/SetCut", SetCutRequest.getDefaultInstance(), server::setCut),
                        RpcMethod.of(
                                "hornbeamspread.Links/GetLinkBytes",
                                GetLinkBytesRequest.getDefaultInstance(),
                                ignored -> server.getLinkBytes())),
                () -> true,
                new PrometheusRegistry());
    }

    private static List<String> readLines(Path file) {
        try {
            return Files.readAllLines(file);
        } catch (IOException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "cannot read --link-file: " + e.getMessage());
        }
    }
}
