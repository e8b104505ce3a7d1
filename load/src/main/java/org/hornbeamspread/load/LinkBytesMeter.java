package org.hornbeamspread.load;

import java.time.Duration;
import java.util.OptionalLong;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.GetLinkBytesRequest;
import org.hornbeamspread.protocol.schema.LinkBytes;
import org.hornbeamspread.transport.AddressTranslator;

/** Counts the bytes that cross the emulator's links between regions, from the construction of the meter. */
final class LinkBytesMeter {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final RpcClient client = new RpcClient();

    /** The HTTP endpoint of the links; empty when the run has no links. */
    private final String linkControl;

    private final OptionalLong startBytes;

    LinkBytesMeter(String linkControl) {
        this.linkControl = linkControl;
        this.startBytes = currentBytes();
    }

    /** The bytes since the construction, in both directions; empty without links. */
    OptionalLong sinceStart() {
        OptionalLong nowBytes = currentBytes();
        return nowBytes.isEmpty() ? nowBytes : OptionalLong.of(nowBytes.getAsLong() - startBytes.orElseThrow());
    }

    private OptionalLong currentBytes() {
        if (linkControl.isEmpty()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(client.call(
                        AddressTranslator.parse(linkControl),
                        "hornbeamspread.Links/GetLinkBytes",
                        GetLinkBytesRequest.getDefaultInstance(),
                        LinkBytes.getDefaultInstance(),
                        TIMEOUT)
                .join()
                .getInterRegionBytes());
    }
}
