package org.hornbeamspread.ctl;

import com.google.protobuf.Message;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import java.util.function.Predicate;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcCodec;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.Failure;
import org.hornbeamspread.protocol.schema.GetConfigurationRequest;
import org.hornbeamspread.protocol.schema.GetTopologyRequest;
import org.hornbeamspread.protocol.schema.OperationResponse;
import org.hornbeamspread.protocol.schema.Topology;

/** The client, output streams and clock that the commands use. */
public final class CommandContext {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final ControlClient client;
    private final OutputFormat format;
    private final PrintStream out;
    private final PrintStream err;
    private final Clock clock;
    private final Sleeper sleeper;

    CommandContext(
            ControlClient client, OutputFormat format, PrintStream out, PrintStream err, Clock clock, Sleeper pause) {
        this.client = client;
        this.format = format;
        this.out = out;
        this.err = err;
        this.clock = clock;
        this.sleeper = pause;
    }

    ControlClient client() {
        return client;
    }

    Instant now() {
        return clock.instant();
    }

    /** Prints an answer in the selected output format. */
    void print(Message answer, TextTable table) {
        if (format == OutputFormat.JSON) {
            out.println(new String(RpcCodec.JSON.encode(answer), StandardCharsets.UTF_8));
        } else {
            out.print(table.render());
        }
    }

    /** Prints a line of information; omitted from JSON output. */
    void printNote(String line) {
        if (format == OutputFormat.TABLE) {
            out.println(line);
        }
    }

    /** Prints the flags with which to send a change again if its answer is lost. */
    void printResendHint(String resendFlags) {
        err.println("sending; if the answer is lost, send the same command again with " + resendFlags);
    }

    Configuration configuration() {
        return client.call(
                "GetConfiguration",
                GetConfigurationRequest.getDefaultInstance(),
                Configuration.getDefaultInstance(),
                answer -> Failure.getDefaultInstance());
    }

    Topology topology() {
        return client.call(
                "GetTopology",
                GetTopologyRequest.getDefaultInstance(),
                Topology.getDefaultInstance(),
                answer -> Failure.getDefaultInstance());
    }

    /** Polls the topology until the condition holds. Fails with REQUEST_TIMEOUT, whose detail describes the condition. */
    Topology awaitTopology(Predicate<Topology> condition, Duration timeout, String conditionText) {
        Instant deadline = clock.instant().plus(timeout);
        while (true) {
            Topology topology = topology();
            if (condition.test(topology)) {
                return topology;
            }
            if (!clock.instant().isBefore(deadline)) {
                throw new FailureException(
                        FailureType.REQUEST_TIMEOUT, "waited " + timeout.toMillis() + " ms " + conditionText);
            }
            sleeper.sleep(POLL_INTERVAL);
        }
    }

    /** Sends a change and prints its result. */
    void sendChange(String method, Message request, String requestId, String result) {
        printResendHint("--request-id " + requestId);
        OperationResponse answer =
                client.call(method, request, OperationResponse.getDefaultInstance(), OperationResponse::getFailure);
        print(answer, new TextTable("RESULT", "REQUEST-ID", "REPLAYED").row(result, requestId, answer.getReplayed()));
    }

    /** The given request id, or a new one if it is empty. */
    static String requestIdOrNew(String given) {
        return given.isEmpty() ? UUID.randomUUID().toString() : given;
    }
}
